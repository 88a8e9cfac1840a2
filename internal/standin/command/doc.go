// Package command holds the command line of the stand-ins.
package command
