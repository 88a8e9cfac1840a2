// Package ticket issues and checks tickets: the right to submit one job.
//
// A ticket names the entry host that issued it, that host's incarnation and a
// sequence number. Only that incarnation may start the job's tasks, so two
// hosts never both start them: a resubmission at another host is forwarded to
// the issuer, and after the issuer's restart the ticket is refused. No
// agreement between hosts is needed, and a host that is cut off goes on
// issuing and serving.
package ticket
