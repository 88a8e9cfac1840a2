// Package discovery holds the table of a system's hosts. A host starts with the
// addresses of a few others and learns the rest from the host lists that hosts send
// each other. Package fleet keeps the table up to date and decides from the ages in it
// which hosts are alive; this package does neither and sends nothing.
//
// The package is pure: times are arguments. The age of an entry is the time since the
// host was heard from, by this host or by the one that reported it. A Table is not
// safe for concurrent use.
package discovery
