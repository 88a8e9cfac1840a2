package trail

import (
	"encoding/json"
	"fmt"
	"sync"

	"wasabifield.example/wasabifield/internal/version/control"
	"wasabifield.example/wasabifield/internal/version/store"
)

const fileName = "audit" // in the data folder

// Trail is the audit trail of one disk. It is safe for concurrent use.
type Trail struct {
	mu      sync.Mutex
	log     *store.Log
	entries []control.Entry
}

// Open reads the trail in the folder, or makes an empty one. The chain is
// verified; its error names the first entry that was edited or is missing. A
// torn last entry is cut off and reported.
func Open(folder *store.Folder) (*Trail, store.Truncation, error) {
	t := &Trail{}
	log, cut, err := folder.OpenLog(fileName, t.read)
	if err != nil {
		return nil, cut, err
	}
	if err := control.Verify(t.entries); err != nil {
		return nil, cut, fmt.Errorf("%s: %w", folder.Path(fileName), err)
	}
	t.log = log
	return t, cut, nil
}

func (t *Trail) read(record []byte) error {
	var e control.Entry
	if err := json.Unmarshal(record, &e); err != nil {
		return fmt.Errorf("entry %d: %w", len(t.entries)+1, err)
	}
	t.entries = append(t.entries, e)
	return nil
}

// Head names the last entry.
func (t *Trail) Head() control.Head {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.head()
}

func (t *Trail) head() control.Head {
	if len(t.entries) == 0 {
		return control.Head{}
	}
	last := t.entries[len(t.entries)-1]
	return control.Head{Index: last.Index, Hash: last.Hash}
}

// Append adds entries that follow the last one. Entries that the trail holds
// already are passed over. The error is a *control.ChainError for a gap or an
// entry that does not fit, or the disk's.
func (t *Trail) Append(entries []control.Entry) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	head := t.head()
	for len(entries) > 0 && entries[0].Index <= head.Index {
		entries = entries[1:]
	}
	if err := control.VerifyAfter(head, entries); err != nil {
		return err
	}
	for _, e := range entries {
		if err := t.add(e); err != nil {
			return err
		}
	}
	return nil
}

func (t *Trail) add(e control.Entry) error {
	record, err := json.Marshal(e)
	if err != nil {
		return err
	}
	if err := t.log.Append(record); err != nil {
		return err
	}
	t.entries = append(t.entries, e)
	return nil
}

// Entries returns at most limit entries from the given index on.
func (t *Trail) Entries(from uint64, limit int) []control.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := max(from, 1) - 1
	if first >= uint64(len(t.entries)) {
		return nil
	}
	rest := t.entries[first:]
	return append([]control.Entry(nil), rest[:min(limit, len(rest))]...)
}

// Close closes the file.
func (t *Trail) Close() error { return t.log.Close() }
