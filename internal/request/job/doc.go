// Package job defines the JSON documents of POST /v1/jobs: the job that a caller
// submits, the answer that it gets and the rules by which a submission is checked.
// The HTTP API and package dispatch use it. The package performs no I/O and runs no
// job.
package job
