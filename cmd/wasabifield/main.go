// Command wasabifield is the command-line tool for operators. Package tool implements
// it.
package main

import (
	"os"

	"wasabifield.example/wasabifield/internal/process/tool"
)

func main() {
	os.Exit(tool.Main(os.Args[1:], os.Stdout, os.Stderr))
}
