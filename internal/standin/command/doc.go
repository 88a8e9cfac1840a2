// Package command implements the command line of the standin program, with the
// subcommands target, caller, relay, check and demo.
package command
