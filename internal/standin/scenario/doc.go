// Package scenario drives the real programs through failures: entry hosts and
// targets as processes, the links between them as relays, and callers. A
// scenario is a script of a small language, see Commands.
//
// A scenario waits for conditions, under a generous limit, and asserts counts
// and answers. It never asserts that something is fast, so its verdict does
// not depend on the load of the machine.
package scenario
