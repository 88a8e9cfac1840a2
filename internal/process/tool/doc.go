// Package tool is the operators' command line. Each command is in a file of
// its own; exit codes are in exit.go.
package tool
