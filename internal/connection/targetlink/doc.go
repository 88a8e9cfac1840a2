// Package targetlink starts tasks at targets over HTTP and tells how each
// attempt ended. Only what is proven not started is reported so: a connection
// that was never made, a request of which no byte was written, or the target's
// own word. Every other error leaves the outcome unknown.
package targetlink
