package control

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// MaxDecodedBytes is the maximum size of a decompressed state.
const MaxDecodedBytes = 32 << 20

// errTooLarge is the error for a state above MaxDecodedBytes.
var errTooLarge = errors.New("control: decompressed state is too large")

// Encode encodes a state as JSON compressed with gzip. Compression pays because
// the documents of successive versions are nearly identical. Equal states have
// equal encodings.
func Encode(s State) ([]byte, error) {
	var out bytes.Buffer
	gz, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("control: encode state: %w", err)
	}
	if err := json.NewEncoder(gz).Encode(s); err != nil {
		return nil, fmt.Errorf("control: encode state: %w", err)
	}
	if err := gz.Close(); err != nil {
		return nil, fmt.Errorf("control: encode state: %w", err)
	}
	return out.Bytes(), nil
}

// Decode decodes a state. Empty input is the state before the first command. It
// returns an error if the input is not a valid encoding or exceeds
// MaxDecodedBytes when decompressed.
func Decode(text []byte) (State, error) {
	var s State
	if len(text) == 0 {
		return s, nil
	}
	gz, err := gzip.NewReader(bytes.NewReader(text))
	if err != nil {
		return State{}, fmt.Errorf("control: decode state: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(gz, MaxDecodedBytes+1))
	if err != nil {
		return State{}, fmt.Errorf("control: decode state: %w", err)
	}
	if len(plain) > MaxDecodedBytes {
		return State{}, errTooLarge
	}
	if err := json.Unmarshal(plain, &s); err != nil {
		return State{}, fmt.Errorf("control: decode state: %w", err)
	}
	return s, nil
}

// ChangeFunc returns a function that applies a command to an encoded state, for a
// register that repeats the call on the newest value until its write succeeds.
// Each call stores its answer in answer, which is valid only once the write has
// succeeded. For a command that changes nothing the function returns its argument.
func (r Rules) ChangeFunc(c Command, now func() time.Time, answer *Answer) func([]byte) ([]byte, error) {
	return func(before []byte) ([]byte, error) {
		s, err := Decode(before)
		if err != nil {
			return nil, err
		}
		next, latest := r.Apply(s, c, now())
		*answer = latest
		if next.Sequence == s.Sequence {
			return before, nil
		}
		return Encode(next)
	}
}
