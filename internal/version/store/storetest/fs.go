// Package storetest provides an in-memory file system for tests. It counts
// operations, simulates a full disk and corrupt files, and loses unsynced data in a
// simulated crash.
package storetest

import (
	"errors"
	"maps"
	"sync"
	"syscall"
)

// ErrLocked is the error of Lock for a path whose lock is held.
var ErrLocked = errors.New("locked")

// Counts are the numbers of operations since the start or the last
// ResetCounts.
type Counts struct {
	Reads int // files read
	Syncs int // files synced, not counting folders
}

// FS is an in-memory store.FS. It is safe for concurrent use.
type FS struct {
	mu          sync.Mutex
	files       map[string]*inode // by path, as the process sees them
	syncedFiles map[string]*inode // by path, as they are after a crash
	locks       map[string]bool
	lockFiles   map[string]bool // by path, those that were created
	counts      Counts
	full        bool
	freeBytes   int        // bytes that can still be written while full is set
	refused     Operations // fail with ENOSPC
}

// Operations is a set of operations that change the file system.
type Operations uint

// The operations of store.FS and store.File that a full disk may refuse.
const (
	Create Operations = 1 << iota // a new name, also by Append and Lock
	Write                         // refused by SetFull, which also limits it to some bytes
	Truncate
	Sync
	Close // of a written file; the file is closed all the same
	Rename
	Remove
	SyncDir

	AllOperations Operations = 1<<iota - 1
)

type inode struct {
	data       []byte
	syncedData []byte
}

// NewFS returns an empty FS.
func NewFS() *FS {
	return &FS{files: map[string]*inode{}, syncedFiles: map[string]*inode{}, locks: map[string]bool{}, lockFiles: map[string]bool{}}
}

// Crash returns the file system as it is after a loss of power. It holds the synced
// files with their synced data and, of each file, the first unsyncedBytes bytes
// that were written after the last sync.
func (f *FS) Crash(unsyncedBytes int) *FS {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := NewFS()
	after.lockFiles = maps.Clone(f.lockFiles)
	for name, n := range f.syncedFiles {
		data := append([]byte(nil), n.syncedData...)
		if len(n.data) > len(n.syncedData) {
			end := min(len(n.data), len(n.syncedData)+unsyncedBytes)
			data = append([]byte(nil), n.data[:end]...)
		}
		recovered := &inode{data: data, syncedData: data}
		after.files[name] = recovered
		after.syncedFiles[name] = recovered
	}
	return after
}

// SetFull makes writes fail with ENOSPC after freeBytes more bytes or, if full is
// false, succeed again.
func (f *FS) SetFull(full bool, freeBytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.full, f.freeBytes = full, freeBytes
}

// Refuse makes the given operations, and no others, fail with ENOSPC.
func (f *FS) Refuse(operations Operations) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused = operations
}

// refuses returns ENOSPC if an operation is refused. The caller holds mu.
func (f *FS) refuses(o Operations) error {
	if f.refused&o != 0 {
		return syscall.ENOSPC
	}
	return nil
}

// Corrupt flips the lowest bit of the byte at an offset of a file.
func (f *FS) Corrupt(path string, offset int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.files[path]
	n.data = append([]byte(nil), n.data...)
	n.data[offset] ^= 1
	n.syncedData = n.data
}

// Size returns the size of a file in bytes, or -1 if there is none.
func (f *FS) Size(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n, ok := f.files[path]; ok {
		return len(n.data)
	}
	return -1
}

// Counts returns the numbers of operations since the start or the last ResetCounts.
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
