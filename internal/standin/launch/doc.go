// Package launch starts, signals and ends the real programs as separate
// processes for the demo, the scenarios and the benchmarks.
package launch
