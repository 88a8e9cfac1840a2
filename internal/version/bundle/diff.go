package bundle

import "strings"

// Op states what a diff does with a line.
type Op string

// The operations of a diff.
const (
	Same    Op = " "
	Removed Op = "-"
	Added   Op = "+"
)

// Line is one line of a diff.
type Line struct {
	Op   Op     `json:"op"`
	Text string `json:"text"`
}

// String returns the line as a unified diff writes it.
func (l Line) String() string {
	return string(l.Op) + l.Text
}

// Diff compares two documents line by line and returns a shortest edit script, unless
// maxTableCells is exceeded. It computes a longest common subsequence by dynamic
// programming: time and memory are proportional to the product of the line counts
// that remain without the common first and last lines.
func Diff(before, after []byte) []Line {
	a, b := splitLines(before), splitLines(after)
	prefixLength := commonPrefixLength(a, b)
	suffixLength := commonSuffixLength(a[prefixLength:], b[prefixLength:])
	var lines []Line
	lines = appendLines(lines, Same, a[:prefixLength])
	lines = append(lines, diffMiddle(a[prefixLength:len(a)-suffixLength], b[prefixLength:len(b)-suffixLength])...)
	return appendLines(lines, Same, a[len(a)-suffixLength:])
}

// Changes returns the removed and added lines of a diff.
func Changes(lines []Line) []Line {
	var changed []Line
	for _, line := range lines {
		if line.Op != Same {
			changed = append(changed, line)
		}
	}
	return changed
}

func splitLines(text []byte) []string {
	if len(text) == 0 {
		return nil
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

func commonPrefixLength(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

func commonSuffixLength(a, b []string) int {
	n := 0
	for n < len(a) && n < len(b) && a[len(a)-1-n] == b[len(b)-1-n] {
		n++
	}
	return n
}

func appendLines(lines []Line, op Op, texts []string) []Line {
	for _, text := range texts {
		lines = append(lines, Line{Op: op, Text: text})
	}
	return lines
}

// maxTableCells limits the size of the dynamic programming table. Larger differences
// are shown as all lines removed, then all lines added.
const maxTableCells = 4 << 20

func diffMiddle(a, b []string) []Line {
	if len(a)*len(b) > maxTableCells {
		return appendLines(appendLines(nil, Removed, a), Added, b)
	}
	common := commonLengths(a, b)
	var lines []Line
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			lines = append(lines, Line{Same, a[i]})
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			lines = append(lines, Line{Removed, a[i]})
			i++
		default:
			lines = append(lines, Line{Added, b[j]})
			j++
		}
	}
	return lines
}

// commonLengths returns the table whose cell [i][j] is the length of the
// longest common subsequence of a[i:] and b[j:].
func commonLengths(a, b []string) [][]int32 {
	table := make([][]int32, len(a)+1)
	for i := range table {
		table[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
				continue
			}
			table[i][j] = max(table[i+1][j], table[i][j+1])
		}
	}
	return table
}
