package store

import (
	"errors"
	"io"
	"os"
	"syscall"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// OSFS is the FS of the operating system. It gives access only to the user of the
// process: mode 0700 for folders and 0600 for files.
type OSFS struct{}

// MkdirAll implements FS.
func (OSFS) MkdirAll(path string) error { return os.MkdirAll(path, folderMode) }

// Lock implements FS by an advisory lock (flock).
func (OSFS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

// ReadFile implements FS.
func (OSFS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FS.
func (OSFS) Create(path string) (File, error) {
	return openFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
}

// Append implements FS.
func (OSFS) Append(path string) (File, error) {
	return openFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY)
}

func openFile(path string, flags int) (File, error) {
	f, err := os.OpenFile(path, flags, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Rename implements FS.
func (OSFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OSFS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OSFS) SyncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
