// Command wasabifieldd is the daemon that runs one entry host. Package daemon
// implements it.
package main

import (
	"os"

	"wasabifield.example/wasabifield/internal/process/daemon"
)

func main() {
	os.Exit(daemon.Main())
}
