// Package settings reads and checks the YAML settings of one entry host. Package
// daemon loads them at start and passes them to package host. All faults of a file
// are reported together, each with the field, its value and what is allowed. The
// package neither watches the file nor applies a setting.
package settings
