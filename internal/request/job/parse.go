package job

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"

	"wasabifield.example/wasabifield/internal/request/failure"
)

const (
	maxNameBytes  = 128
	maxDeadlineMS = 10 * 60 * 1000
)

// Parse decodes and checks a submission. An error names the invalid field and has the
// kind InvalidRequest, or TooLarge if there are too many tasks.
func Parse(body []byte) (*Spec, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	spec := &Spec{}
	if err := decoder.Decode(spec); err != nil {
		return nil, decodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, failure.Invalid("body", "unexpected data after the job")
	}
	if err := spec.check(); err != nil {
		return nil, err
	}
	return spec, nil
}

func decodeError(err error) error {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return failure.Invalid(typeError.Field, "must be "+typeError.Type.String()+", is "+typeError.Value)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return failure.Invalid(strings.Trim(name, `"`), "unknown field")
	}
	return failure.Invalid("body", "not valid JSON: "+err.Error())
}

func (s *Spec) check() error {
	if err := checkName("team", s.Team); err != nil {
		return err
	}
	if s.DeadlineMS < 0 {
		return failure.Invalid("deadline_ms", "must not be negative")
	}
	if s.DeadlineMS > maxDeadlineMS {
		return failure.Invalid("deadline_ms", fmt.Sprintf("must be at most %d", maxDeadlineMS))
	}
	if len(s.Tasks) == 0 {
		return failure.Invalid("tasks", "a job must have at least one task")
	}
	if len(s.Tasks) > MaxTasks {
		message := fmt.Sprintf("a job may have at most %d tasks, this job has %d", MaxTasks, len(s.Tasks))
		return &failure.Error{Kind: failure.TooLarge, Field: "tasks", Message: message}
	}
	return s.checkTasks()
}

func (s *Spec) checkTasks() error {
	seen := make(map[string]bool, len(s.Tasks))
	for i, t := range s.Tasks {
		field := fmt.Sprintf("tasks[%d].", i)
		if err := checkName(field+"id", t.ID); err != nil {
			return err
		}
		if seen[t.ID] {
			return failure.Invalid(field+"id", fmt.Sprintf("%q occurs more than once in the job", t.ID))
		}
		seen[t.ID] = true
		if len(t.Kind) > maxNameBytes {
			return failure.Invalid(field+"kind", fmt.Sprintf("must be at most %d bytes", maxNameBytes))
		}
		if t.DeclaredMS < 0 {
			return failure.Invalid(field+"declared_ms", "must not be negative")
		}
	}
	return nil
}

// checkName accepts 1 to maxNameBytes bytes of printable ASCII without spaces. Other
// bytes are refused because task ids are sent to targets in HTTP headers.
func checkName(field, value string) error {
	if value == "" || len(value) > maxNameBytes {
		return failure.Invalid(field, fmt.Sprintf("must be 1 to %d bytes", maxNameBytes))
	}
	for _, c := range []byte(value) {
		if c <= ' ' || c > '~' {
			return failure.Invalid(field, "must be printable ASCII without spaces")
		}
	}
	return nil
}

// PayloadBytes returns the total size of the payloads, bytes.
func (s *Spec) PayloadBytes() int64 {
	total := 0
	for _, t := range s.Tasks {
		total += len(t.Payload)
	}
	return int64(total)
}

// Digest returns a hash of the job's content without the ticket. Two submissions
// under one ticket must have the same digest.
func (s *Spec) Digest() uint64 {
	d := xxhash.New()
	write := func(fields ...any) { _, _ = fmt.Fprintf(d, "%q\n", fields) }
	write(s.Team, s.DeadlineMS, s.Idempotent, len(s.Tasks))
	var compact bytes.Buffer
	for _, t := range s.Tasks {
		compact.Reset()
		if json.Compact(&compact, t.Payload) != nil {
			compact.Write(t.Payload)
		}
		write(t.ID, t.Kind, t.DeclaredMS, t.Accelerator, compact.Bytes())
	}
	return d.Sum64()
}
