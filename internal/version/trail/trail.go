package trail

import (
	"encoding/json"
	"fmt"
	"sync"

	"wasabifield.example/wasabifield/internal/version/control"
	"wasabifield.example/wasabifield/internal/version/store"
)

const fileName = "audit" // log in the data folder

// Trail is the audit trail on the disk of one host. It is safe for concurrent use.
type Trail struct {
	mu      sync.Mutex
	log     *store.Log
	entries []control.Entry
}

// Open reads the trail in the folder, or creates an empty one, and verifies its hash
// chain. The error wraps a *control.ChainError for the first entry that is missing or
// was edited, and is a *store.Error if the file can't be read. A torn last entry is
// truncated and reported in the Truncation.
func Open(folder *store.Folder) (*Trail, store.Truncation, error) {
	t := &Trail{}
	log, truncation, err := folder.OpenLog(fileName, t.loadRecord)
	if err != nil {
		return nil, truncation, err
	}
	if err := control.Verify(t.entries); err != nil {
		return nil, truncation, fmt.Errorf("%s: %w", folder.Path(fileName), err)
	}
	t.log = log
	return t, truncation, nil
}

// loadRecord decodes a record of the log and adds its entry.
func (t *Trail) loadRecord(record []byte) error {
	var e control.Entry
	if err := json.Unmarshal(record, &e); err != nil {
		return fmt.Errorf("entry %d: %w", len(t.entries)+1, err)
	}
	t.entries = append(t.entries, e)
	return nil
}

// Head returns the head of the trail, which identifies its last entry.
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

// Append appends entries that follow the last one and syncs each of them. It skips
// leading entries whose index the trail already holds. The error is a
// *control.ChainError, with nothing appended, for a gap or an entry that doesn't fit
// the hash chain, or the error of the disk. After a disk error the entries before
// the failed one are appended.
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
		if err := t.appendEntry(e); err != nil {
			return err
		}
	}
	return nil
}

func (t *Trail) appendEntry(e control.Entry) error {
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

// Entries returns at most limit entries from an index on. Indexes start at 1.
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

// Close closes the log file.
func (t *Trail) Close() error { return t.log.Close() }
