package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

const (
	notProved = "not proved"
	cells     = 5
)

var quoted = regexp.MustCompile("`([^`]+)`")

// row is one line of a table of proofs.
type row struct {
	line    int
	point   string   // of the brief
	tests   []string // functions or scenario files; none if not proved
	folder  string   // of the package
	command string
	failed  string // how the test failed first
}

// readRows returns the rows of the tables in file.
func readRows(file string) ([]row, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return parseRows(string(text))
}

// parseRows reads the lines that begin with "| ", but for headers.
func parseRows(text string) ([]row, error) {
	var rows []row
	for i, line := range strings.Split(text, "\n") {
		if !strings.HasPrefix(line, "| ") || strings.HasPrefix(line, "| Point") || strings.HasPrefix(line, "| ---") {
			continue
		}
		parts := strings.Split(strings.Trim(line, "| "), " | ")
		if len(parts) != cells {
			return nil, fmt.Errorf("line %d: has %d cells, must have %d", i+1, len(parts), cells)
		}
		rows = append(rows, row{
			line:    i + 1,
			point:   parts[0],
			tests:   names(parts[1]),
			folder:  strings.Trim(parts[2], "`"),
			command: parts[3],
			failed:  parts[4],
		})
	}
	return rows, nil
}

// names returns what stands in backquotes.
func names(cell string) []string {
	var list []string
	if cell == notProved {
		return nil
	}
	for _, match := range quoted.FindAllStringSubmatch(cell, -1) {
		list = append(list, match[1])
	}
	return list
}
