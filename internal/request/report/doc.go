// Package report counts the answers to jobs on one host and returns the counts of a
// period. It also describes each kind of failure in words for readers who do not know
// the system's terms. Package host records the answers; the operator API and the
// operator's tool read the reports. The counts are held in memory only and are lost
// when the host restarts.
package report
