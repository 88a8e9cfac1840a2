package tool

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"wasabifield.example/wasabifield/internal/connection/wire"
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const emptyCell = "-" // printed for an empty table cell

// printDocument prints a document in the format of --output: as indented JSON, or
// as the text that writeTable writes, whose tab-separated cells are aligned.
func (t *tool) printDocument(document any, writeTable func(w io.Writer)) error {
	if t.output == outputJSON {
		encoder := json.NewEncoder(t.stdout)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(document)
	}
	w := tabwriter.NewWriter(t.stdout, 0, 0, 2, ' ', 0)
	writeTable(w)
	return w.Flush()
}

// writeRow writes one row of a table; empty cells are printed as emptyCell.
func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
		if texts[i] == "" {
			texts[i] = emptyCell
		}
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// writeLine writes one formatted line of text.
func writeLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

// formatTime formats t in UTC to the second, and a zero time as emptyCell.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return emptyCell
	}
	return t.UTC().Format("2006-01-02 15:04:05")
}

// writeFreshness writes which host answered and whether a majority confirmed the
// state, or else how old the state is.
func writeFreshness(w io.Writer, freshness wire.Freshness) {
	if freshness.Confirmed {
		writeLine(w, "Read from host %s, confirmed by a majority of the hosts that keep it.", freshness.Host)
		return
	}
	age := time.Duration(freshness.AgeMS) * time.Millisecond
	writeLine(w, "Read from host %s, NOT confirmed: as it was %s ago.", freshness.Host, age.Round(time.Second))
}
