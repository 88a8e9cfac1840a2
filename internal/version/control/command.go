package control

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"wasabifield.example/wasabifield/internal/version/bundle"
)

// Action names what a command does.
type Action string

// The actions.
const (
	Propose  Action = "propose"  // claim a version number for a content
	Approve  Action = "approve"  // add an operator's signature to a proposal
	Roll     Action = "roll"     // accept an approved proposal
	Replace  Action = "replace"  // propose, approve and roll in one step
	Withdraw Action = "withdraw" // end a proposal that is not accepted
)

// Actions lists every action.
var Actions = []Action{Propose, Approve, Roll, Replace, Withdraw}

// Command is one change that an operator asks for.
type Command struct {
	RequestID string        `json:"request"`  // id chosen by the sender; the same on every resend
	Operator  string        `json:"operator"` // who asks
	Action    Action        `json:"action"`
	Version   uint64        `json:"version"`
	Digest    bundle.Digest `json:"digest"`
	Document  []byte        `json:"document,omitempty"`  // exact bytes; with Propose and Replace only
	Approvals []Approval    `json:"approvals,omitempty"` // with Approve and Replace only
	Reason    string        `json:"reason,omitempty"`    // free text for the audit trail
	Signature []byte        `json:"signature"`           // by Operator over the command, see Sign
}

// Approval is an operator's signature over a version and its digest.
type Approval struct {
	Operator  string `json:"operator"`
	Signature []byte `json:"signature"`
}

// NewApproval signs a version and its digest.
func NewApproval(operator string, key ed25519.PrivateKey, version uint64, digest bundle.Digest) Approval {
	return Approval{Operator: operator, Signature: ed25519.Sign(key, approvalText(version, digest))}
}

// Sign returns c signed by its operator's key.
func (c Command) Sign(key ed25519.PrivateKey) Command {
	c.Signature = ed25519.Sign(key, c.text())
	return c
}

// approval is the text of an approval. Its fields' order and names are fixed.
type approval struct {
	Purpose string        `json:"purpose"`
	Version uint64        `json:"version"`
	Digest  bundle.Digest `json:"digest"`
}

func approvalText(version uint64, digest bundle.Digest) []byte {
	return mustMarshal(approval{Purpose: "wasabifield approval", Version: version, Digest: digest})
}

// text is what the operator's signature covers: all fields but the signature.
func (c Command) text() []byte {
	c.Signature = nil
	return append([]byte("wasabifield command\n"), mustMarshal(c)...)
}

// fingerprint identifies the command's content, so that a request id that
// comes back with another content is noticed.
func (c Command) fingerprint() string {
	sum := sha256.Sum256(c.text())
	return hex.EncodeToString(sum[:])
}

// mustMarshal encodes a document of plain fields, which cannot fail.
func mustMarshal(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}
