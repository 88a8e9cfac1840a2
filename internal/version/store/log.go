package store

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
)

// ErrLogFailed refuses to append after a failure that could not be undone.
var ErrLogFailed = errors.New("the log failed before; open it again")

// Log is a file of records in the order of their appending. It is not safe
// for concurrent use.
type Log struct {
	path   string
	file   File
	size   int64 // bytes of whole records
	failed bool
}

// Truncation tells of a last record that was torn by a crash and has been cut off.
type Truncation struct {
	Offset int64 // where the record began, bytes
	Bytes  int64 // how much of it there was; 0 if the log was whole
}

// OpenLog opens a log in the folder, makes it if necessary, and passes each
// record to visit, which must not keep it. A record that was torn by a crash
// while being appended is cut off. Damage that valid records follow is an
// error that is ErrCorrupt and names the offset; the file is left as it is.
func (f *Folder) OpenLog(name string, visit func(record []byte) error) (*Log, Truncation, error) {
	path := f.Path(name)
	data, err := f.fs.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, Truncation{}, &Error{Op: "read", File: path, Cause: err}
	}
	size, err := scan(data, visit)
	if err != nil {
		return nil, Truncation{}, &Error{Op: "read", File: path, Offset: size, Cause: err}
	}
	l := &Log{path: path, size: size}
	if l.file, err = f.fs.Append(path); err != nil {
		return nil, Truncation{}, &Error{Op: "append", File: path, Cause: err}
	}
	cut := Truncation{Offset: size, Bytes: int64(len(data)) - size}
	if err := f.settle(l, cut); err != nil {
		return nil, Truncation{}, &Error{Op: "append", File: path, Cause: errors.Join(err, l.Close())}
	}
	return l, cut, nil
}

// settle cuts a torn record off and makes the file's name last.
func (f *Folder) settle(l *Log, cut Truncation) error {
	if cut.Bytes > 0 {
		if err := l.file.Truncate(l.size); err != nil {
			return err
		}
		if err := l.file.Sync(); err != nil {
			return err
		}
	}
	return f.fs.SyncDir(f.path)
}

// scan visits the valid records and returns where they end.
func scan(data []byte, visit func(record []byte) error) (int64, error) {
	offset := 0
	for offset < len(data) {
		record, err := parseFrame(data[offset:])
		if err != nil {
			if next := nextFrame(data, offset+1); next >= 0 {
				return int64(offset), fmt.Errorf("%w; the next record is at byte %d", err, next)
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

// nextFrame returns the offset of the first valid frame at or after from, or
// -1 if there is none.
func nextFrame(data []byte, from int) int {
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

// Append adds a record. When it returns nil, the record lasts; otherwise it
// is not in the log, unless the process ends before the next Append.
func (l *Log) Append(record []byte) error {
	if l.failed {
		return &Error{Op: "append", File: l.path, Cause: ErrLogFailed}
	}
	if len(record) > MaxPayloadBytes {
		return &Error{Op: "append", File: l.path, Cause: fmt.Errorf("%d bytes are more than %d", len(record), MaxPayloadBytes)}
	}
	frame := appendFrame(nil, record)
	_, err := l.file.Write(frame)
	if err == nil {
		err = l.file.Sync()
	}
	if err != nil {
		l.failed = l.file.Truncate(l.size) != nil
		return &Error{Op: "append", File: l.path, Cause: err}
	}
	l.size += int64(len(frame))
	return nil
}

// Size returns the bytes of the log.
func (l *Log) Size() int64 { return l.size }

// Close closes the file.
func (l *Log) Close() error { return l.file.Close() }
