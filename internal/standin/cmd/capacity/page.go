package main

import (
	"fmt"
	"os"
	"strings"
)

// The marks between which the table stands on its page.
const (
	beginMark = "<!-- table: begin -->\n"
	endMark   = "<!-- table: end -->\n"
)

// writePage replaces the table on the page in file.
func writePage(file, table string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	before, rest, found := strings.Cut(string(text), beginMark)
	_, after, closed := strings.Cut(rest, endMark)
	if !found || !closed {
		return fmt.Errorf("%s: has no marks for the table", file)
	}
	return os.WriteFile(file, []byte(before+beginMark+table+endMark+after), 0o644)
}
