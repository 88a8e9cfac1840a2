// Package wire defines the HTTP paths, headers and JSON documents that entry hosts
// exchange with callers, targets, operators and the platform. Servers and clients of
// these paths use it; it serves and sends nothing itself, except that WriteJSON
// writes a document as a response.
//
// A target announces itself with POST /v1/targets at any entry host of its failure
// domain, announces itself again before its lease ends, and announces Leaving when it
// wants no new work. An entry host starts a task with POST /v1/tasks at the target's
// address. The target answers 200 with the output, or an error status with the
// RanHeader that states whether the task was started.
package wire
