// Package target is a stand-in for a target: it announces itself at entry
// hosts, renews its lease and runs tasks by waiting. The payload of a task may
// script faults.
package target
