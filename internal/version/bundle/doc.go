// Package bundle defines the versioned document that states how the service
// behaves: limits, quotas, retries, routing, deadlines and the order in which
// failure domains take a new version.
//
// A bundle is YAML. Parse refuses unknown fields and reports every fault at
// once, each with its field, its value and what is allowed. A bundle is
// identified by its version number and by the SHA-256 of its exact bytes,
// which is what operators sign. A field that a document leaves out has the
// value of Default.
package bundle
