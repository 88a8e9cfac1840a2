package store

import (
	"errors"
	"fmt"
	"syscall"
)

// ErrCorrupt is the cause of an Error for a file whose content is not what was
// written.
var ErrCorrupt = errors.New("corrupt")

// Error is a failed operation on a file.
type Error struct {
	Op     string // make, lock, read, write, sync or append
	File   string
	Offset int64 // of the corrupt data, in bytes from the start of the file
	Cause  error
}

// Error implements error.
func (e *Error) Error() string {
	if errors.Is(e.Cause, ErrCorrupt) {
		return fmt.Sprintf("%s %s: corrupt at byte %d: %v", e.Op, e.File, e.Offset, e.Cause)
	}
	return fmt.Sprintf("%s %s: %v", e.Op, e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// IsDiskFull reports whether err is caused by a full disk or an exhausted disk
// quota.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
