// Command standin runs the small stand-ins for targets, callers and networks
// that the demo, the scenarios and the benchmarks use.
package main

func main() {}
