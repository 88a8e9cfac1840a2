package storetest

import (
	"io"
	"io/fs"
	"maps"
	"syscall"

	"wasabifield.example/wasabifield/internal/version/store"
)

var _ store.FS = (*FS)(nil)

// MkdirAll implements store.FS.
func (f *FS) MkdirAll(string) error { return nil }

type lock struct {
	fs   *FS
	path string
}

// Lock implements store.FS.
func (f *FS) Lock(path string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.locks[path] {
		return nil, ErrLocked
	}
	if !f.lockFiles[path] {
		if err := f.refuses(Create); err != nil {
			return nil, err
		}
	}
	f.lockFiles[path] = true
	f.locks[path] = true
	return lock{f, path}, nil
}

// Close releases the lock.
func (l lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	delete(l.fs.locks, l.path)
	return nil
}

// ReadFile implements store.FS.
func (f *FS) ReadFile(path string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Reads++
	n, ok := f.files[path]
	if !ok {
		return nil, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return append([]byte(nil), n.data...), nil
}

// Create implements store.FS.
func (f *FS) Create(path string) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.refuses(Create); err != nil {
		return nil, err
	}
	n := &inode{}
	f.files[path] = n
	return &file{f, n}, nil
}

// Append implements store.FS.
func (f *FS) Append(path string) (store.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.files[path]
	if !ok {
		if err := f.refuses(Create); err != nil {
			return nil, err
		}
		n = &inode{}
		f.files[path] = n
	}
	return &file{f, n}, nil
}

// Rename implements store.FS.
func (f *FS) Rename(from, to string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.refuses(Rename); err != nil {
		return err
	}
	n, ok := f.files[from]
	if !ok {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	f.files[to] = n
	delete(f.files, from)
	return nil
}

// Remove implements store.FS.
func (f *FS) Remove(path string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.refuses(Remove); err != nil {
		return err
	}
	delete(f.files, path)
	return nil
}

// SyncDir implements store.FS.
func (f *FS) SyncDir(string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.refuses(SyncDir); err != nil {
		return err
	}
	f.syncedFiles = maps.Clone(f.files)
	return nil
}

type file struct {
	fs    *FS
	inode *inode
}

// Write implements store.File. On a full disk it writes as many bytes as are free.
func (f *file) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.refuses(Write); err != nil {
		return 0, err
	}
	n := len(p)
	if f.fs.full {
		n = min(n, f.fs.freeBytes)
		f.fs.freeBytes -= n
	}
	f.inode.data = append(f.inode.data, p[:n]...)
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Sync implements store.File.
func (f *file) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.refuses(Sync); err != nil {
		return err
	}
	f.fs.counts.Syncs++
	f.inode.syncedData = append([]byte(nil), f.inode.data...)
	return nil
}

// Truncate implements store.File.
func (f *file) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.refuses(Truncate); err != nil {
		return err
	}
	f.inode.data = append([]byte(nil), f.inode.data[:size]...)
	return nil
}

// Close implements store.File.
func (f *file) Close() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	return f.fs.refuses(Close)
}
