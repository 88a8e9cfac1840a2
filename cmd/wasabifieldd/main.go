// Command wasabifieldd is an entry host.
package main

import (
	"os"

	"wasabifield.example/wasabifield/internal/process/daemon"
)

func main() {
	os.Exit(daemon.Main())
}
