// Package peer links entry hosts over gRPC: it forwards submissions to the
// host that issued their ticket and exchanges what hosts know of each other
// and of the targets.
package peer
