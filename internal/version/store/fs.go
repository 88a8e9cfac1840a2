package store

import "io"

// FS is the part of a file system that the store uses. Paths are absolute.
type FS interface {
	// MkdirAll creates a folder and its parents if they don't exist.
	MkdirAll(path string) error
	// Lock locks the file at path, which it creates if necessary. The lock is held
	// until it is closed or the process ends. Lock fails immediately if another
	// process holds it.
	Lock(path string) (io.Closer, error)
	// ReadFile returns the content of a file. The error wraps fs.ErrNotExist if
	// there is none.
	ReadFile(path string) ([]byte, error)
	// Create opens an empty file for writing and replaces an existing one.
	Create(path string) (File, error)
	// Append opens a file for writing at its end and creates it if necessary.
	Append(path string) (File, error)
	// Rename moves the file at from to to and replaces an existing one there.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncDir makes the created, renamed and deleted names in a folder durable.
	SyncDir(path string) error
}

// File is an open file. Written data is durable once Sync has returned nil.
type File interface {
	io.WriteCloser
	Sync() error
	Truncate(size int64) error
}
