// Package registerpb is the wire and file form of package register: the gRPC
// service between entry hosts and the state file of a host with a disk.
package registerpb
