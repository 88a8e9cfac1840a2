// Package storetest holds a file system in memory for tests: it counts, fails
// on demand and forgets at a crash what was not synced.
package storetest

import (
	"errors"
	"sync"
)

// ErrLocked refuses a lock that is held.
var ErrLocked = errors.New("locked")

// Counts are the operations since the start or the last Reset.
type Counts struct {
	Reads int // files read
	Syncs int // files synced, without folders
}

// FS is a store.FS in memory. It is safe for concurrent use.
type FS struct {
	mu     sync.Mutex
	names  map[string]*node // as seen by the process
	synced map[string]*node // as on the disk
	locks  map[string]bool
	counts Counts
	full   bool
	room   int // bytes that may still be written while full
}

type node struct {
	data   []byte
	synced []byte
}

// NewFS returns an empty FS.
func NewFS() *FS {
	return &FS{names: map[string]*node{}, synced: map[string]*node{}, locks: map[string]bool{}}
}

// Crash returns the file system as it is after a loss of power: only what was
// synced is there, of the rest the first torn bytes of each file.
func (f *FS) Crash(torn int) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := NewFS()
	for name, n := range f.synced {
		data := append([]byte(nil), n.synced...)
		if len(n.data) > len(n.synced) {
			end := min(len(n.data), len(n.synced)+torn)
			data = append([]byte(nil), n.data[:end]...)
		}
		kept := &node{data: data, synced: data}
		after.names[name] = kept
		after.synced[name] = kept
	}
	return after
}

// SetFull makes writes fail with ENOSPC after room more bytes, or lets them
// pass again.
func (f *FS) SetFull(full bool, room int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full, f.room = full, room
}

// Corrupt flips one bit of a file.
func (f *FS) Corrupt(path string, offset int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.names[path]
	n.data = append([]byte(nil), n.data...)
	n.data[offset] ^= 1
	n.synced = n.data
}

// Size returns the bytes of a file, or -1 if there is none.
func (f *FS) Size(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n, ok := f.names[path]; ok {
		return len(n.data)
	}
	return -1
}

// Counts returns the operations since the last Reset.
func (f *FS) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// ResetCounts sets the counts to zero.
func (f *FS) ResetCounts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts = Counts{}
}
