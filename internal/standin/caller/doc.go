// Package caller is a stand-in for a caller. It submits jobs under tickets, resubmits a
// job whose answer was lost, and records the requests and answers in a history. The
// commands, the demo, the measurements and the scenarios use it. The package decides
// nothing about the outcome of a job and does not check the history.
package caller
