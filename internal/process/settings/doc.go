// Package settings reads and checks the daemon's YAML settings. Every fault is
// reported at once, each with the field, its value and what is allowed.
package settings
