// Package relay is a stand-in for the network: a TCP relay for one link that
// can be cut, delayed, or made silent for the connections that are open.
package relay
