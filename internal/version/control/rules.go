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

// Operator is the name and the public key of someone who may send commands and
// sign approvals.
type Operator struct {
	Name string
	Key  ed25519.PublicKey
}

// Rules define who may change the state and how many approvals a version needs to
// be accepted.
type Rules struct {
	Operators         []Operator
	RequiredApprovals int
	Domains           []string // the failure domains that may be evacuated
}

var (
	requestPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)
	digestPattern  = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Apply returns the state after a command and the answer to the command. It
// doesn't modify s.
//
// A command that is malformed or not signed by a named operator is refused and
// leaves the state unchanged. Every other command, also one that is refused,
// increments the sequence number and adds an audit entry. The exception is a
// request id that was answered before: the state stays unchanged, and the answer
// is the first one, or a refusal if the id was used for another command.
func (r Rules) Apply(s State, c Command, now time.Time) (State, Answer) {
	verified, refusal := r.validate(c)
	if refusal != nil {
		return s, s.refuse(c, refusal)
	}
	if outcome, ok := s.findOutcome(c.RequestID); ok {
		return s, s.answerResend(c, outcome)
	}
	now = now.UTC().Truncate(time.Millisecond)
	next := s.clone()
	message, refusal := r.execute(&next, verified, now)
	next.Sequence++
	answer := next.newAnswer(c, message, refusal)
	next.recordAnswer(s, c, answer, now)
	return next, answer
}

// verifiedCommand is a command whose form, signatures and document are valid.
type verifiedCommand struct {
	Command
	basedOn uint64 // the based_on field of the document; 0 without a document
}

// validate makes the checks that need no state. It verifies the signatures before
// it parses the document, so that no document of an unknown sender is parsed.
func (r Rules) validate(c Command) (verifiedCommand, *failure.Error) {
	verified := verifiedCommand{Command: c}
	if err := c.checkForm(); err != nil {
		return verified, err
	}
	if err := r.verify(c.Operator, c.signedText(), c.Signature); err != nil {
		return verified, err
	}
	for _, approval := range c.Approvals {
		if err := r.verify(approval.Operator, approvalText(c.Version, c.Digest), approval.Signature); err != nil {
			return verified, err
		}
	}
	if !c.carriesDocument() {
		return verified, nil
	}
	b, err := c.parseDocument()
	verified.basedOn = b.BasedOn
	return verified, err
}

// checkForm checks the syntax and the size of the fields, and which fields the
// action allows.
func (c Command) checkForm() *failure.Error {
	switch {
	case !requestPattern.MatchString(c.RequestID):
		return failure.Invalid("request", "must be 1 to 64 letters, digits, dots, dashes or underscores")
	case !slices.Contains(Actions, c.Action):
		return failure.Invalid("action", fmt.Sprintf("is %q, must be one of %v", c.Action, Actions))
	case len(c.Reason) > MaxReasonBytes || !utf8.ValidString(c.Reason):
		return failure.Invalid("reason", fmt.Sprintf("must be at most %d bytes of UTF-8", MaxReasonBytes))
	case c.isEvacuation():
		return c.checkEvacuationForm()
	case c.Domain != "" || c.Force:
		return failure.Invalid("domain", fmt.Sprintf("is not allowed with %s", c.Action))
	case c.Version == 0:
		return failure.Invalid("version", "must be 1 or more")
	case !digestPattern.MatchString(string(c.Digest)):
		return failure.Invalid("digest", "must be 64 digits of lower-case hex")
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

// parseDocument returns the bundle in the document and checks that the document
// matches the command's digest and version.
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

// verify checks that a text is signed by an operator whom the rules name.
func (r Rules) verify(operator string, text, signature []byte) *failure.Error {
	key, ok := r.publicKey(operator)
	if !ok {
		return failure.New(failure.NotAllowed, fmt.Sprintf("%q is not an operator named in the settings", operator))
	}
	if len(key) != ed25519.PublicKeySize || !ed25519.Verify(key, text, signature) {
		return failure.New(failure.NotAllowed, fmt.Sprintf("the signature was not made with the key of operator %q for this version and content", operator))
	}
	return nil
}

func (r Rules) publicKey(operator string) (ed25519.PublicKey, bool) {
	for _, o := range r.Operators {
		if o.Name == operator {
			return o.Key, true
		}
	}
	return nil, false
}

// countValidApprovals returns the number of operators whose signature of v is
// valid under the current rules. A signature of an operator whom the rules no
// longer name doesn't count.
func (r Rules) countValidApprovals(v Version) int {
	signers := map[string]bool{}
	for _, a := range v.Approvals {
		if r.verify(a.Operator, approvalText(v.Number, v.Digest), a.Signature) == nil {
			signers[a.Operator] = true
		}
	}
	return len(signers)
}

// findOutcome returns the kept outcome of a request id.
func (s State) findOutcome(request string) (Outcome, bool) {
	for _, o := range s.Outcomes {
		if o.RequestID == request {
			return o, true
		}
	}
	return Outcome{}, false
}

// answerResend returns the first answer if c is the command that o answers, and a
// refusal if c is another command under the same request id.
func (s State) answerResend(c Command, o Outcome) Answer {
	if o.Fingerprint == c.fingerprint() {
		return o.Answer
	}
	return s.refuse(c, failure.Invalid("request", fmt.Sprintf("id %s was used for another command", c.RequestID)))
}

// refuse returns the refusal of a command that leaves the state unchanged.
func (s State) refuse(c Command, err *failure.Error) Answer {
	return s.newAnswer(c, "", err)
}

// newAnswer returns the answer to c. s is the state after the command.
func (s State) newAnswer(c Command, message string, refusal *failure.Error) Answer {
	a := Answer{Message: message, Version: c.Version, Accepted: s.Accepted, Sequence: s.Sequence}
	if v, ok := s.Version(c.Version); ok {
		a.Digest = v.Digest
	}
	if refusal != nil {
		a.Kind, a.Field, a.Message = refusal.Kind, refusal.Field, refusal.Message
	}
	return a
}

// clone returns a copy whose slices can be appended to and changed without effect
// on s. The approvals of the versions are shared.
func (s State) clone() State {
	s.Versions = slices.Clone(s.Versions)
	s.Outcomes = slices.Clone(s.Outcomes)
	s.Entries = slices.Clone(s.Entries)
	return s
}

// recordAnswer adds the answer to the outcomes and to the audit trail. before is
// the state before the command.
func (s *State) recordAnswer(before State, c Command, answer Answer, now time.Time) {
	s.Outcomes = append(s.Outcomes, Outcome{RequestID: c.RequestID, Fingerprint: c.fingerprint(), Answer: answer})
	entry := newEntry(s.Head, before, *s, c, answer, now)
	s.Entries = append(s.Entries, entry)
	s.Head = entry.head()
	s.trim()
}
