package control

import (
	"crypto/ed25519"
	"fmt"
	"regexp"
	"slices"
	"time"
	"unicode/utf8"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/bundle"
)

// Operator may send commands and sign approvals.
type Operator struct {
	Name string
	Key  ed25519.PublicKey
}

// Rules say who may change the state and how many approvals a version needs.
type Rules struct {
	Operators         []Operator
	RequiredApprovals int
}

var (
	requestPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
	digestPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Apply returns the state after a command and the answer to it. It changes
// nothing but its result.
//
// A command that cannot be understood or is not signed by a named operator is
// refused and leaves the state as it is. Every other command, a refused one
// too, raises the sequence number by one and adds an audit entry, unless its
// request id was answered before: then the first answer is given again.
func (r Rules) Apply(s State, c Command, now time.Time) (State, Answer) {
	a, refusal := r.admit(c)
	if refusal != nil {
		return s, s.refuse(c, refusal)
	}
	if outcome, ok := s.outcome(c.RequestID); ok {
		return s, s.repeat(c, outcome)
	}
	now = now.UTC().Truncate(time.Millisecond)
	next := s.clone()
	message, refusal := r.act(&next, a, now)
	next.Sequence++
	answer := next.answer(c, message, refusal)
	next.record(s, c, answer, now)
	return next, answer
}

// admitted is a command whose form and signatures are right.
type admitted struct {
	Command
	basedOn uint64 // what the document states; 0 without a document
}

// admit checks what can be checked without the state. Signatures come before
// the document, so that nothing of a stranger's is parsed.
func (r Rules) admit(c Command) (admitted, *failure.Error) {
	a := admitted{Command: c}
	if err := c.checkForm(); err != nil {
		return a, err
	}
	if err := r.verify(c.Operator, c.text(), c.Signature); err != nil {
		return a, err
	}
	for _, approval := range c.Approvals {
		if err := r.verify(approval.Operator, approvalText(c.Version, c.Digest), approval.Signature); err != nil {
			return a, err
		}
	}
	if !c.carriesDocument() {
		return a, nil
	}
	b, err := c.parseDocument()
	a.basedOn = b.BasedOn
	return a, err
}

func (c Command) checkForm() *failure.Error {
	switch {
	case !requestPattern.MatchString(c.RequestID):
		return failure.Invalid("request", "must be 1 to 64 letters, digits, dots, dashes or underscores")
	case !slices.Contains(Actions, c.Action):
		return failure.Invalid("action", fmt.Sprintf("is %q, must be one of %v", c.Action, Actions))
	case c.Version == 0:
		return failure.Invalid("version", "must be 1 or more")
	case !digestPattern.MatchString(string(c.Digest)):
		return failure.Invalid("digest", "must be 64 digits of lower-case hex")
	case len(c.Reason) > MaxReasonBytes || !utf8.ValidString(c.Reason):
		return failure.Invalid("reason", fmt.Sprintf("must be at most %d bytes of UTF-8", MaxReasonBytes))
	case len(c.Approvals) > MaxApprovals:
		return failure.Invalid("approvals", fmt.Sprintf("must be at most %d", MaxApprovals))
	case !c.carriesDocument() && len(c.Document) > 0:
		return failure.Invalid("document", fmt.Sprintf("is not allowed with %s", c.Action))
	}
	return c.checkApprovals()
}

func (c Command) carriesDocument() bool {
	return c.Action == Propose || c.Action == Replace
}

func (c Command) parseDocument() (bundle.Bundle, *failure.Error) {
	if digest := bundle.DigestOf(c.Document); digest != c.Digest {
		return bundle.Bundle{}, failure.Invalid("digest", fmt.Sprintf("is %s, but the document's is %s", c.Digest, digest))
	}
	if !utf8.Valid(c.Document) {
		return bundle.Bundle{}, failure.Invalid("document", "must be UTF-8")
	}
	b, err := bundle.Parse(c.Document)
	if err != nil {
		return b, failure.Invalid("document", err.Error())
	}
	if b.Version != c.Version {
		return b, failure.Invalid("version", fmt.Sprintf("is %d, but the document's is %d", c.Version, b.Version))
	}
	return b, nil
}

func (c Command) checkApprovals() *failure.Error {
	switch {
	case c.Action == Approve && len(c.Approvals) != 1:
		return failure.Invalid("approvals", "must be exactly one with approve")
	case c.Action == Approve && c.Approvals[0].Operator != c.Operator:
		return failure.Invalid("approvals", "must be signed by the operator of the command")
	case c.Action != Approve && c.Action != Replace && len(c.Approvals) > 0:
		return failure.Invalid("approvals", fmt.Sprintf("is not allowed with %s", c.Action))
	}
	return nil
}

// verify checks a signature by a named operator.
func (r Rules) verify(operator string, text, signature []byte) *failure.Error {
	key, ok := r.key(operator)
	if !ok {
		return failure.New(failure.NotAllowed, fmt.Sprintf("%q is not an operator named in the settings", operator))
	}
	if len(key) != ed25519.PublicKeySize || !ed25519.Verify(key, text, signature) {
		return failure.New(failure.NotAllowed, fmt.Sprintf("the signature was not made with the key of operator %q for this version and content", operator))
	}
	return nil
}

func (r Rules) key(operator string) (ed25519.PublicKey, bool) {
	for _, o := range r.Operators {
		if o.Name == operator {
			return o.Key, true
		}
	}
	return nil, false
}

// approvals counts the operators whose signature of v is valid today. A
// signature by an operator who is no longer named does not count.
func (r Rules) approvals(v Version) int {
	signers := map[string]bool{}
	for _, a := range v.Approvals {
		if r.verify(a.Operator, approvalText(v.Number, v.Digest), a.Signature) == nil {
			signers[a.Operator] = true
		}
	}
	return len(signers)
}

func (s State) outcome(request string) (Outcome, bool) {
	for _, o := range s.Outcomes {
		if o.RequestID == request {
			return o, true
		}
	}
	return Outcome{}, false
}

// repeat answers a request id that was answered before.
func (s State) repeat(c Command, o Outcome) Answer {
	if o.Fingerprint == c.fingerprint() {
		return o.Answer
	}
	return s.refuse(c, failure.Invalid("request", fmt.Sprintf("id %s was used for another command", c.RequestID)))
}

// refuse answers a command that left the state as it is.
func (s State) refuse(c Command, err *failure.Error) Answer {
	return s.answer(c, "", err)
}

func (s State) answer(c Command, message string, refusal *failure.Error) Answer {
	a := Answer{Message: message, Version: c.Version, Accepted: s.Accepted, Sequence: s.Sequence}
	if v, ok := s.Version(c.Version); ok {
		a.Digest = v.Digest
	}
	if refusal != nil {
		a.Kind, a.Field, a.Message = refusal.Kind, refusal.Field, refusal.Message
	}
	return a
}

func (s State) clone() State {
	s.Versions = slices.Clone(s.Versions)
	s.Outcomes = slices.Clone(s.Outcomes)
	s.Entries = slices.Clone(s.Entries)
	return s
}

// record adds the answer to the outcomes and to the audit trail.
func (s *State) record(before State, c Command, answer Answer, now time.Time) {
	s.Outcomes = append(s.Outcomes, Outcome{RequestID: c.RequestID, Fingerprint: c.fingerprint(), Answer: answer})
	entry := newEntry(s.Head, before, *s, c, answer, now)
	s.Entries = append(s.Entries, entry)
	s.Head = entry.head()
	s.trim()
}
