package store

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
)

const lockFileName = "lock"

// Folder is the data folder of one host. Only one process can open it at a time.
// Its methods are not safe for concurrent use on the same file.
type Folder struct {
	fs   FS
	path string
	lock io.Closer
}

// OpenFolder creates the folder if it doesn't exist and locks it. It fails if
// another process holds the lock. Errors are of type *Error.
func OpenFolder(fs FS, path string) (*Folder, error) {
	if err := fs.MkdirAll(path); err != nil {
		return nil, &Error{Op: "make", File: path, Cause: err}
	}
	lockPath := filepath.Join(path, lockFileName)
	lock, err := fs.Lock(lockPath)
	if err != nil {
		return nil, &Error{Op: "lock", File: lockPath, Cause: err}
	}
	return &Folder{fs: fs, path: path, lock: lock}, nil
}

// Close releases the lock of the folder.
func (f *Folder) Close() error { return f.lock.Close() }

// Path returns the path of a file in the folder.
func (f *Folder) Path(name string) string { return filepath.Join(f.path, name) }

// Read returns the payload of a file. The error wraps fs.ErrNotExist if the file was
// never written and ErrCorrupt if it is damaged.
func (f *Folder) Read(name string) ([]byte, error) {
	path := f.Path(name)
	data, err := f.fs.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "read", File: path, Cause: err}
	}
	payload, err := parseFrame(data)
	if err == nil && len(data) != headerBytes+len(payload) {
		err = fmt.Errorf("%w: %d bytes follow the payload", ErrCorrupt, len(data)-headerBytes-len(payload))
	}
	if err != nil {
		return nil, &Error{Op: "read", File: path, Cause: err}
	}
	return payload, nil
}

// Sync makes what Read returns durable. A process that ended during a Write, or after one
// that failed, may have left a new file whose name a loss of power takes back.
func (f *Folder) Sync() error {
	if err := f.fs.SyncDir(f.path); err != nil {
		return &Error{Op: "sync", File: f.path, Cause: err}
	}
	return nil
}

// Write atomically replaces the payload of a file. If it returns nil, the new payload
// is durable; after an error the file holds either the old or the new payload.
// The payload may have at most MaxPayloadBytes.
func (f *Folder) Write(name string, payload []byte) error {
	path := f.Path(name)
	if len(payload) > MaxPayloadBytes {
		return &Error{Op: "write", File: path, Cause: fmt.Errorf("a payload of %d bytes exceeds the maximum of %d bytes", len(payload), MaxPayloadBytes)}
	}
	tempPath := path + ".new"
	err := f.writeAndSync(tempPath, appendFrame(nil, payload))
	if err != nil {
		_ = f.fs.Remove(tempPath) // frees the space on a full disk
		return &Error{Op: "write", File: path, Cause: err}
	}
	if err := f.fs.Rename(tempPath, path); err != nil {
		return &Error{Op: "write", File: path, Cause: err}
	}
	if err := f.fs.SyncDir(f.path); err != nil {
		return &Error{Op: "write", File: path, Cause: err}
	}
	return nil
}

// writeAndSync creates a file with the data and syncs it.
func (f *Folder) writeAndSync(path string, data []byte) error {
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
