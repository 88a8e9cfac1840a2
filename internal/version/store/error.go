package store

import (
	"errors"
	"fmt"
	"syscall"
)

// ErrCorrupt marks a file whose content is not what was written.
var ErrCorrupt = errors.New("corrupt")

// Error names the file that an operation failed on.
type Error struct {
	Op     string // read, write, append, lock
	File   string
	Offset int64 // of the fault, bytes from the file's start
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

// IsDiskFull reports whether err comes from a full disk or a quota on it.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}
