package control

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"wasabifield.example/wasabifield/internal/version/bundle"
)

// Action is the kind of change that a command makes.
type Action string

// The actions.
const (
	Propose  Action = "propose"  // assign a version number to a content
	Approve  Action = "approve"  // add an operator's signature to a proposal
	Roll     Action = "roll"     // accept an approved proposal
	Replace  Action = "replace"  // propose, approve and roll in one step
	Withdraw Action = "withdraw" // end a proposal that is not accepted

	StartEvacuation    Action = "evacuation-start"    // the targets of a failure domain get no new work
	WithdrawEvacuation Action = "evacuation-withdraw" // end the evacuation of a failure domain
)

// Actions lists every action.
var Actions = []Action{Propose, Approve, Roll, Replace, Withdraw, StartEvacuation, WithdrawEvacuation}

// Command is an operator's request to change the state.
type Command struct {
	RequestID string        `json:"request"`  // chosen by the sender; the same on every resend
	Operator  string        `json:"operator"` // name of the requesting operator
	Action    Action        `json:"action"`
	Version   uint64        `json:"version"`
	Digest    bundle.Digest `json:"digest"`
	Document  []byte        `json:"document,omitempty"`  // the bundle's exact bytes; only with Propose and Replace
	Approvals []Approval    `json:"approvals,omitempty"` // only with Approve and Replace
	Reason    string        `json:"reason,omitempty"`    // free text for the audit trail
	Domain    string        `json:"domain,omitempty"`    // failure domain; only with StartEvacuation and WithdrawEvacuation
	Force     bool          `json:"force,omitempty"`     // evacuate also the last domain that gets work; only with StartEvacuation
	Signature []byte        `json:"signature"`           // Operator's signature of the command, see Sign
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
	c.Signature = ed25519.Sign(key, c.signedText())
	return c
}

// approvalPayload is the content that an approval signs. The names and the order
// of its fields are fixed, because a signature covers the encoded bytes.
type approvalPayload struct {
	Purpose string        `json:"purpose"`
	Version uint64        `json:"version"`
	Digest  bundle.Digest `json:"digest"`
}

// approvalText returns the bytes that the signature of an approval covers.
func approvalText(version uint64, digest bundle.Digest) []byte {
	return mustMarshal(approvalPayload{Purpose: "wasabifield approval", Version: version, Digest: digest})
}

// signedText returns the bytes that the operator's signature covers: all fields
// except the signature.
func (c Command) signedText() []byte {
	c.Signature = nil
	return append([]byte("wasabifield command\n"), mustMarshal(c)...)
}

// fingerprint returns the hex SHA-256 of the command's content. It detects a
// request id that is reused for another command.
func (c Command) fingerprint() string {
	sum := sha256.Sum256(c.signedText())
	return hex.EncodeToString(sum[:])
}

// mustMarshal encodes a value of plain fields as JSON, which cannot fail.
func mustMarshal(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}
