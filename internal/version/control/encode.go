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

// MaxDecodedBytes is the greatest size of a decoded state, bytes.
const MaxDecodedBytes = 32 << 20

// errTooLarge reports a state over MaxDecoded.
var errTooLarge = errors.New("control: encoded state is too large")

// Encode returns the state as bytes: JSON, compressed by gzip because the
// documents of neighbouring versions are nearly alike. Equal states have equal
// encodings.
func Encode(s State) ([]byte, error) {
	var out bytes.Buffer
	compressor, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("control: encode state: %w", err)
	}
	if err := json.NewEncoder(compressor).Encode(s); err != nil {
		return nil, fmt.Errorf("control: encode state: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("control: encode state: %w", err)
	}
	return out.Bytes(), nil
}

// Decode returns the state of its encoded form. No bytes are the state before
// the first command.
func Decode(text []byte) (State, error) {
	var s State
	if len(text) == 0 {
		return s, nil
	}
	decompressor, err := gzip.NewReader(bytes.NewReader(text))
	if err != nil {
		return State{}, fmt.Errorf("control: decode state: %w", err)
	}
	plain, err := io.ReadAll(io.LimitReader(decompressor, MaxDecodedBytes+1))
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

// ChangeFunc returns the function that carries a command out on an encoded state,
// for a register that calls it until its write succeeds. The answer of the
// last call is left in answer; it counts only once the write has succeeded. A
// command that changes nothing returns the bytes it was given.
func (r Rules) ChangeFunc(c Command, now func() time.Time, answer *Answer) func([]byte) ([]byte, error) {
	return func(before []byte) ([]byte, error) {
		s, err := Decode(before)
		if err != nil {
			return nil, err
		}
		next, given := r.Apply(s, c, now())
		*answer = given
		if next.Sequence == s.Sequence {
			return before, nil
		}
		return Encode(next)
	}
}
