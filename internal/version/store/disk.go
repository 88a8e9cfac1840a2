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

// Disk is the FS of the operating system.
type Disk struct{}

// MkdirAll implements FS.
func (Disk) MkdirAll(path string) error { return os.MkdirAll(path, folderMode) }

// Lock implements FS by an advisory lock.
func (Disk) Lock(path string) (io.Closer, error) {
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
func (Disk) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FS.
func (Disk) Create(path string) (File, error) {
	return open(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
}

// Append implements FS.
func (Disk) Append(path string) (File, error) {
	return open(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY)
}

func open(path string, flags int) (File, error) {
	f, err := os.OpenFile(path, flags, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Rename implements FS.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (Disk) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (Disk) SyncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}
