// Package caller is a stand-in for a caller: it submits jobs under tickets,
// resubmits after lost answers and records what it sent and received.
package caller
