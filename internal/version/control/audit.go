package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"wasabifield.example/wasabifield/internal/version/bundle"
)

// Head names the last entry of an audit trail. The zero value is the head of
// an empty trail.
type Head struct {
	Index uint64 `json:"index"`
	Hash  string `json:"hash"`
}

// Summary is what an audit entry says of the state before or after a command.
type Summary struct {
	Sequence uint64        `json:"sequence"`
	Accepted uint64        `json:"accepted"`         // version in force
	Digest   bundle.Digest `json:"digest,omitempty"` // its content
	Status   Status        `json:"status,omitempty"` // of the version that the command is about
	Signers  []string      `json:"signers,omitempty"`
}

// Entry is one entry of the audit trail. Its hash covers all its other
// fields, the hash of the entry before included.
type Entry struct {
	Index    uint64    `json:"index"` // from 1, without gaps
	Time     time.Time `json:"time"`  // by the clock of the host that made the change, ms resolution
	Operator string    `json:"operator"`
	Command  Command   `json:"command"` // without the document, which the digest stands for
	Before   Summary   `json:"before"`
	After    Summary   `json:"after"`
	Answer   Answer    `json:"answer"`
	PrevHash string    `json:"prev_hash"` // hex SHA-256; empty in entry 1
	Hash     string    `json:"hash"`      // hex SHA-256
}

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
	return summary
}

func (e Entry) hash() string {
	e.Hash = ""
	sum := sha256.Sum256(mustMarshal(e))
	return hex.EncodeToString(sum[:])
}

func (e Entry) head() Head {
	return Head{Index: e.Index, Hash: e.Hash}
}

// ChainError names the first entry of an audit trail that is missing or was
// edited.
type ChainError struct {
	Index  uint64
	Reason string
}

// Error implements error.
func (e *ChainError) Error() string {
	return fmt.Sprintf("audit entry %d: %s", e.Index, e.Reason)
}

// Verify checks a whole trail from its first entry. Its error is a
// *ChainError that names the first gap or edit.
func Verify(entries []Entry) error {
	return VerifyAfter(Head{}, entries)
}

// VerifyAfter checks entries that follow head.
func VerifyAfter(head Head, entries []Entry) error {
	for _, e := range entries {
		want := head.Index + 1
		switch {
		case e.Index != want:
			return &ChainError{want, fmt.Sprintf("is missing; entry %d stands in its place", e.Index)}
		case e.hash() != e.Hash:
			return &ChainError{want, "was edited: its hash does not match its content"}
		case e.PrevHash != head.Hash:
			return &ChainError{want, "does not follow the entry before it: that one was edited or replaced"}
		}
		head = e.head()
	}
	return nil
}

// VerifyTo checks a whole trail and that it ends at head, so that entries cut
// off its end show too.
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

// EntriesAfter returns the entries that follow a trail's head. It reports false if
// the state no longer holds all of them or the trail is not a part of the
// state's.
func (s State) EntriesAfter(head Head) ([]Entry, bool) {
	missing := s.Head.Index - min(head.Index, s.Head.Index)
	if head.Index > s.Head.Index || missing > uint64(len(s.Entries)) {
		return nil, false
	}
	entries := lastOf(s.Entries, int(missing))
	if len(entries) == 0 {
		return nil, head == s.Head
	}
	return entries, entries[0].PrevHash == head.Hash
}
