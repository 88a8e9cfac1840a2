// Package demo runs the main use of the dispatcher with separate processes: two
// entry hosts in two failure domains and targets in each, to which callers
// submit jobs of 1 to 210 tasks. It then checks the histories of the run. The
// "standin demo" command uses it.
package demo
