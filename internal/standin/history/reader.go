package history

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"os"
	"slices"

	"github.com/samber/oops"
)

// Read returns the events of one history. A last line without a newline, which a killed
// process may leave, is ignored. Any other line that is not an event is an error.
func Read(in io.Reader) ([]Event, error) {
	var events []Event
	lines := bufio.NewReader(in)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return nil, oops.In("history").Wrap(err)
		}
		var e Event
		if err := json.Unmarshal(line, &e); err != nil {
			return nil, oops.In("history").With("line", string(line)).Wrap(err)
		}
		events = append(events, e)
	}
}

// ReadFiles returns the events of all files, sorted by time.
func ReadFiles(files ...string) ([]Event, error) {
	var all []Event
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			return nil, oops.In("history").Wrap(err)
		}
		events, err := Read(f)
		_ = f.Close()
		if err != nil {
			return nil, oops.In("history").With("file", file).Wrap(err)
		}
		all = append(all, events...)
	}
	slices.SortStableFunc(all, func(a, b Event) int { return a.At.Compare(b.At) })
	return all, nil
}
