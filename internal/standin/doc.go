// Package standin is the parent of small stand-ins for the parts around the
// dispatcher: targets, callers and the network between processes. The demo,
// the scenarios and the benchmarks use them; the product does not.
package standin
