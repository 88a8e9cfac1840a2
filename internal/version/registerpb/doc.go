// Package registerpb is the Protocol Buffers encoding of package register: the gRPC
// service between entry hosts and the state file of a host with a disk. Package
// controller uses it; the decisions of the algorithm are made in package register.
package registerpb
