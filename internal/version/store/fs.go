package store

import "io"

// FS is what the store needs of a file system. Paths are absolute.
type FS interface {
	// MkdirAll makes a folder and those above it.
	MkdirAll(path string) error
	// Lock takes the lock file at path until it is closed or the process
	// ends. It fails at once if another process holds the lock.
	Lock(path string) (io.Closer, error)
	// ReadFile returns a whole file, or an error that is fs.ErrNotExist.
	ReadFile(path string) ([]byte, error)
	// Create opens an empty file for writing, in place of any at path.
	Create(path string) (File, error)
	// Append opens a file for writing at its end and makes it if necessary.
	Append(path string) (File, error)
	// Rename puts the file at from in place of any at to.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDir makes the names in a folder last.
	SyncDir(path string) error
}

// File is an open file. What is written lasts once it is synced.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}
