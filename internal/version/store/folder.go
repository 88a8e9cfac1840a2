package store

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
)

const lockName = "lock"

// Folder is the data folder of one host. One process uses it at a time. Its
// methods are not safe for concurrent use on the same name.
type Folder struct {
	fs   FS
	path string
	lock io.Closer
}

// OpenFolder makes the folder if necessary and locks it.
func OpenFolder(fs FS, path string) (*Folder, error) {
	if err := fs.MkdirAll(path); err != nil {
		return nil, &Error{Op: "make", File: path, Cause: err}
	}
	lockPath := filepath.Join(path, lockName)
	lock, err := fs.Lock(lockPath)
	if err != nil {
		return nil, &Error{Op: "lock", File: lockPath, Cause: err}
	}
	return &Folder{fs: fs, path: path, lock: lock}, nil
}

// Close releases the folder.
func (f *Folder) Close() error { return f.lock.Close() }

// Path returns the path of a file in the folder.
func (f *Folder) Path(name string) string { return filepath.Join(f.path, name) }

// Read returns the payload of a file. Its error is fs.ErrNotExist for a file
// that was never written and ErrCorrupt for a damaged one.
func (f *Folder) Read(name string) ([]byte, error) {
	path := f.Path(name)
	data, err := f.fs.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "read", File: path, Cause: err}
	}
	payload, err := parseFrame(data)
	if err == nil && len(data) != headerBytes+len(payload) {
		err = fmt.Errorf("%w: %d bytes too many", ErrCorrupt, len(data)-headerBytes-len(payload))
	}
	if err != nil {
		return nil, &Error{Op: "read", File: path, Cause: err}
	}
	return payload, nil
}

// Write replaces a file. When it returns nil, the payload lasts; after an
// error either the old payload or the new one does.
func (f *Folder) Write(name string, payload []byte) error {
	path := f.Path(name)
	if len(payload) > MaxPayloadBytes {
		return &Error{Op: "write", File: path, Cause: fmt.Errorf("%d bytes are more than %d", len(payload), MaxPayloadBytes)}
	}
	temporary := path + ".new"
	err := f.writeNew(temporary, appendFrame(nil, payload))
	if err != nil {
		_ = f.fs.Remove(temporary) // gives the space back
		return &Error{Op: "write", File: path, Cause: err}
	}
	if err := f.fs.Rename(temporary, path); err != nil {
		return &Error{Op: "write", File: path, Cause: err}
	}
	if err := f.fs.SyncDir(f.path); err != nil {
		return &Error{Op: "write", File: path, Cause: err}
	}
	return nil
}

func (f *Folder) writeNew(path string, data []byte) error {
	file, err := f.fs.Create(path)
	if err != nil {
		return err
	}
	if _, err := file.Write(data); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Sync(); err != nil {
		return errors.Join(err, file.Close())
	}
	return file.Close()
}
