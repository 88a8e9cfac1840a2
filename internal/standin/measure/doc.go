// Package measure starts fleets of entry hosts with stand-ins around them,
// loads them and reads what they cost: processor time and memory from /proc,
// bytes and counts from their metrics. It fits slopes to costs at several
// sizes. The benchmarks and the capacity table are made with it.
package measure
