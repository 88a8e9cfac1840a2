// Package control defines the control state: which bundle versions were
// proposed, approved and accepted, by which operators, which failure domains are
// evacuated, and the audit trail of the operators' commands.
//
// Only Rules.Apply changes the state. It is a pure function of the state, a
// command and the time; the package has no clock, storage or network of its own.
// Package controlplane keeps the encoded state in a replicated register, which
// repeats Apply on the newest value until its write succeeds. Package operatorapi
// uses Apply for dry runs.
//
// Invariants under every sequence of commands:
//
//   - A version number belongs permanently to the first content proposed under it.
//   - The number of the accepted version never decreases.
//   - A command that is sent again under its request id gets the first answer
//     again, as long as this is one of the last MaxOutcomes answers.
//   - The evacuations are those of the last successful commands about each domain;
//     commands about versions don't change them.
//   - The first answer to each well-formed command of a named operator is recorded
//     in an audit entry. The entries form a hash chain.
package control
