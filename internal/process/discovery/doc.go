// Package discovery keeps the table of a system's hosts. A host starts with the
// addresses of a few others and learns the rest from what hosts tell each other.
//
// The package is pure: times are arguments. An entry's age is the time since
// the host was heard, by this host or by the one that told of it.
package discovery
