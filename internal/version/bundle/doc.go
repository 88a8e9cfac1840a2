// Package bundle defines the versioned document that configures the service: limits,
// quotas, retries, routing, deadlines, ejection of targets and the order in which
// failure domains put a new version in force. Hosts and the operator's tool parse and
// check bundles with it. The package performs no I/O; package control holds the rules
// for accepting a version.
//
// A bundle is written in YAML. Parse refuses unknown fields and reports all faults at
// once, each with its field, its value and the allowed values. A bundle is identified
// by its version number and by the SHA-256 digest of its exact bytes, which is what
// operators sign. A field that is missing from a document has the value of Default.
package bundle
