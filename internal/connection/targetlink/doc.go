// Package targetlink sends start requests and stop requests to targets over HTTP and
// reports the outcome of each attempt to package dispatch. It never repeats a
// request.
//
// An attempt is reported as not started only if that is proven: no connection was
// made, no byte of the request was written, or the target answered that the task did
// not run. After any other error the outcome is unknown.
package targetlink
