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

// The values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

const none = "-" // an empty cell

// print writes a document: as JSON, or by the function that writes it for
// people.
func (t *tool) print(document any, human func(w io.Writer)) error {
	if t.output == outputJSON {
		encoder := json.NewEncoder(t.out)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(document)
	}
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	human(w)
	return w.Flush()
}

// row writes one line of a table.
func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
		if texts[i] == "" {
			texts[i] = none
		}
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}

// line writes one line of text.
func line(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

// instant formats a time for people.
func instant(t time.Time) string {
	if t.IsZero() {
		return none
	}
	return t.UTC().Format("2006-01-02 15:04:05")
}

// reading says how far an answer can be trusted.
func reading(w io.Writer, r wire.Freshness) {
	if r.Confirmed {
		line(w, "Read from host %s, confirmed by a majority of the hosts that keep it.", r.Host)
		return
	}
	age := time.Duration(r.AgeMS) * time.Millisecond
	line(w, "Read from host %s, NOT confirmed: as it was %s ago.", r.Host, age.Round(time.Second))
}
