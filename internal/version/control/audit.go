package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"wasabifield.example/wasabifield/internal/version/bundle"
)

// Head identifies the last entry of an audit trail. The zero value is the head of
// an empty trail.
type Head struct {
	Index uint64 `json:"index"`
	Hash  string `json:"hash"`
}

// Summary is the part of the state before or after a command that an audit entry
// records.
type Summary struct {
	Sequence uint64        `json:"sequence"`
	Accepted uint64        `json:"accepted"`          // version in force
	Digest   bundle.Digest `json:"digest,omitempty"`  // digest of the version in force
	Status   Status        `json:"status,omitempty"`  // of the version in the command
	Signers  []string      `json:"signers,omitempty"` // operators who approved the version in the command

	Evacuated []string `json:"evacuated,omitempty"` // evacuated failure domains
}

// Entry is one entry of the audit trail. Its hash covers all its other fields,
// including the hash of the previous entry.
type Entry struct {
	Index    uint64    `json:"index"` // from 1, without gaps
	Time     time.Time `json:"time"`  // of the change by the clock of the host that made it, in whole milliseconds
	Operator string    `json:"operator"`
	Command  Command   `json:"command"` // without the document, which its digest identifies
	Before   Summary   `json:"before"`
	After    Summary   `json:"after"`
	Answer   Answer    `json:"answer"`
	PrevHash string    `json:"prev_hash"` // hex SHA-256; empty in entry 1
	Hash     string    `json:"hash"`      // hex SHA-256
}

// newEntry returns the entry that follows head for a command and its answer. before
// and after are the states around the command.
func newEntry(head Head, before, after State, c Command, answer Answer, now time.Time) Entry {
	c.Document = nil
	e := Entry{
		Index:    head.Index + 1,
		Time:     now,
		Operator: c.Operator,
		Command:  c,
		Before:   summarize(before, c.Version),
		After:    summarize(after, c.Version),
		Answer:   answer,
		PrevHash: head.Hash,
	}
	e.Hash = e.hash()
	return e
}

func summarize(s State, version uint64) Summary {
	summary := Summary{Sequence: s.Sequence, Accepted: s.Accepted}
	if v, ok := s.AcceptedVersion(); ok {
		summary.Digest = v.Digest
	}
	if v, ok := s.Version(version); ok {
		summary.Status = v.Status
		for _, a := range v.Approvals {
			summary.Signers = append(summary.Signers, a.Operator)
		}
	}
	for _, e := range s.Evacuations {
		summary.Evacuated = append(summary.Evacuated, e.Domain)
	}
	return summary
}

// hash returns the hex SHA-256 of the entry's JSON encoding with an empty Hash.
func (e Entry) hash() string {
	e.Hash = ""
	sum := sha256.Sum256(mustMarshal(e))
	return hex.EncodeToString(sum[:])
}

func (e Entry) head() Head {
	return Head{Index: e.Index, Hash: e.Hash}
}

// ChainError reports the first entry of an audit trail that is missing or was
// edited.
type ChainError struct {
	Index  uint64
	Reason string
}

// Error implements error.
func (e *ChainError) Error() string {
	return fmt.Sprintf("audit entry %d: %s", e.Index, e.Reason)
}

// Verify checks the hash chain of a trail from its first entry on. It returns a
// *ChainError for the first entry that is missing or was edited.
func Verify(entries []Entry) error {
	return VerifyAfter(Head{}, entries)
}

// VerifyAfter checks the hash chain of the entries that follow head. Its error is as
// in Verify.
func VerifyAfter(head Head, entries []Entry) error {
	for _, e := range entries {
		wantIndex := head.Index + 1
		switch {
		case e.Index != wantIndex:
			return &ChainError{wantIndex, fmt.Sprintf("is missing; entry %d stands in its place", e.Index)}
		case e.hash() != e.Hash:
			return &ChainError{wantIndex, "was edited: its hash does not match its content"}
		case e.PrevHash != head.Hash:
			return &ChainError{wantIndex, "does not follow the entry before it: that one was edited or replaced"}
		}
		head = e.head()
	}
	return nil
}

// VerifyTo checks the hash chain of a complete trail and that the trail ends at
// head, which also detects entries that are missing at its end. Its error is as in
// Verify.
func VerifyTo(head Head, entries []Entry) error {
	if err := Verify(entries); err != nil {
		return err
	}
	var last Head
	if len(entries) > 0 {
		last = entries[len(entries)-1].head()
	}
	switch {
	case last.Index < head.Index:
		return &ChainError{last.Index + 1, fmt.Sprintf("is missing; the trail should reach entry %d", head.Index)}
	case last != head:
		return &ChainError{last.Index, "is not the entry that the control state holds"}
	}
	return nil
}

// EntriesAfter returns the entries that follow the head of a trail. It returns
// false if the state no longer holds all of them, or if the trail is not a prefix
// of the state's trail.
func (s State) EntriesAfter(head Head) ([]Entry, bool) {
	missing := s.Head.Index - min(head.Index, s.Head.Index)
	if head.Index > s.Head.Index || missing > uint64(len(s.Entries)) {
		return nil, false
	}
	entries := lastN(s.Entries, int(missing))
	if len(entries) == 0 {
		return nil, head == s.Head
	}
	return entries, entries[0].PrevHash == head.Hash
}
