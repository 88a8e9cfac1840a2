// Package metrics combines a tally root scope with a reporter that serves the
// values over HTTP in the Prometheus text exposition format, version 0.0.4. Packages
// host and platform create the metrics of their process and record the values; this
// package decides neither what is measured nor at which address it is served.
//
// Histograms are served without a _sum series, because tally does not keep the sum.
// Timers are served as summaries without quantiles, in seconds.
package metrics
