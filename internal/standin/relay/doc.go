// Package relay simulates faults of one network link with a TCP relay: tests
// and the "standin relay" command put it between two processes to hold bytes
// back in one direction or both, delay them, reset connections, or silence the
// connections that are open. It never changes or reorders the bytes of a
// connection.
package relay
