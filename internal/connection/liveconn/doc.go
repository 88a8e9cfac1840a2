// Package liveconn keeps HTTP connections to targets, and finds those that have gone silent
// without a reset, by evidence: a request is unanswered, and a copy of it is answered on a
// connection that was opened, or has answered, since. Copies therefore never go out on a
// connection that may be as silent as the first. It answers the load of a network that drops
// all open connections of a host at once, where each idle connection would cost a timeout.
package liveconn
