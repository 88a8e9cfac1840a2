// Command standin runs the small stand-ins for targets, callers and networks
// that the demo, the scenarios and the benchmarks use.
package main

import "wasabifield.example/wasabifield/internal/standin/command"

func main() { command.Main() }
