// Package launch starts, signals and stops the real programs as separate
// processes, writes their settings, allocates their ports and waits until they
// are ready. The demo, the scenarios and the benchmarks use it.
package launch
