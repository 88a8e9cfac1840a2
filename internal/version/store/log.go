package store

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
)

// Log is an append-only file of records. It is not safe for concurrent use.
type Log struct {
	path string
	file File
	size int64 // bytes of all complete records
	torn bool  // a partial record may follow them
}

// Truncation describes a last record that was torn by a crash and has been
// truncated.
type Truncation struct {
	Offset int64 // of the record's start, in bytes from the start of the file
	Bytes  int64 // truncated bytes; 0 if the log was intact
}

// OpenLog opens a log in the folder, creates it if necessary, and passes each
// record to visit, which must not retain it. A last record that was torn by a crash
// during its append is truncated. If valid records follow a damaged one, the error
// is an *Error that wraps ErrCorrupt and has the offset of the damage, and the file
// stays unchanged.
func (f *Folder) OpenLog(name string, visit func(record []byte) error) (*Log, Truncation, error) {
	path := f.Path(name)
	data, err := f.fs.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, Truncation{}, &Error{Op: "read", File: path, Cause: err}
	}
	size, err := scanRecords(data, visit)
	if err != nil {
		return nil, Truncation{}, &Error{Op: "read", File: path, Offset: size, Cause: err}
	}
	l := &Log{path: path, size: size}
	if l.file, err = f.fs.Append(path); err != nil {
		return nil, Truncation{}, &Error{Op: "append", File: path, Cause: err}
	}
	truncation := Truncation{Offset: size, Bytes: int64(len(data)) - size}
	if err := f.truncateAndSync(l, truncation); err != nil {
		return nil, Truncation{}, &Error{Op: "append", File: path, Cause: errors.Join(err, l.Close())}
	}
	return l, truncation, nil
}

// truncateAndSync truncates a torn last record and makes the name of the file
// durable.
func (f *Folder) truncateAndSync(l *Log, truncation Truncation) error {
	if truncation.Bytes > 0 {
		if err := l.file.Truncate(l.size); err != nil {
			return err
		}
		if err := l.file.Sync(); err != nil {
			return err
		}
	}
	return f.fs.SyncDir(f.path)
}

// scanRecords visits the valid records at the start of data and returns the offset
// of their end. Damage after them is an error only if a valid frame follows it.
func scanRecords(data []byte, visit func(record []byte) error) (int64, error) {
	offset := 0
	for offset < len(data) {
		record, err := parseFrame(data[offset:])
		if err != nil {
			if next := findFrame(data, offset+1); next >= 0 {
				return int64(offset), fmt.Errorf("%w; the next valid record is at byte %d", err, next)
			}
			return int64(offset), nil
		}
		if err := visit(record); err != nil {
			return int64(offset), err
		}
		offset += headerBytes + len(record)
	}
	return int64(offset), nil
}

// findFrame returns the offset of the first valid frame at or after from, or
// -1 if there is none.
func findFrame(data []byte, from int) int {
	for from < len(data) {
		i := bytes.Index(data[from:], magic[:])
		if i < 0 {
			return -1
		}
		if _, err := parseFrame(data[from+i:]); err == nil {
			return from + i
		}
		from += i + 1
	}
	return -1
}

// Append appends a record of at most MaxPayloadBytes. If it returns nil, the record
// is durable. After an error the record is not in the log, but may reappear in it
// if the process ends before the next successful Append, because the removal of the
// record may have failed and is not synced before then.
func (l *Log) Append(record []byte) error {
	if len(record) > MaxPayloadBytes {
		return &Error{Op: "append", File: l.path, Cause: fmt.Errorf("a record of %d bytes exceeds the maximum of %d bytes", len(record), MaxPayloadBytes)}
	}
	frame := appendFrame(nil, record)
	if err := l.writeAndSync(frame); err != nil {
		l.torn = l.file.Truncate(l.size) != nil
		return &Error{Op: "append", File: l.path, Cause: err}
	}
	l.size += int64(len(frame))
	return nil
}

// writeAndSync appends a frame. It first truncates a partial record that could not be
// truncated when its append failed, as a full disk may refuse that as well.
func (l *Log) writeAndSync(frame []byte) error {
	if l.torn {
		if err := l.file.Truncate(l.size); err != nil {
			return err
		}
		l.torn = false
	}
	if _, err := l.file.Write(frame); err != nil {
		return err
	}
	return l.file.Sync()
}

// Size returns the size of the log in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the file.
func (l *Log) Close() error { return l.file.Close() }
