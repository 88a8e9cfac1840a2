// Package target is a stand-in for a target. It announces itself to entry hosts, renews
// its lease, simulates tasks by waiting for their run times and records them in a history.
// The payload of a task may script faults. The commands, the demo, the measurements and
// the scenarios use the package. It never checks the history.
package target
