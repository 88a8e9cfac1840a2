// Package peer connects entry hosts over gRPC. It forwards submissions and
// cancellations to the host that issued the ticket, passes jobs to another failure
// domain and the records of a drained host to its successor, and exchanges what hosts
// know of each other and of the targets. It decides nothing: the host calls Client
// and implements Backend, which answers the other hosts. The retries of gRPC
// are disabled, so that no request is sent twice.
package peer
