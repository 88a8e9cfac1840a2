// Package metrics joins a tally root scope with a reporter that serves the
// values over HTTP in the Prometheus text exposition format, version 0.0.4.
//
// Histograms are served without a _sum, which tally does not keep. Timers are
// served as summaries without quantiles, in seconds.
package metrics
