// Package control holds the control state: which bundle versions were
// proposed, approved and accepted, by whom, and the audit trail of every
// change.
//
// The state is changed by Rules.Apply alone, a pure function of the state, a
// command and the time. The caller keeps the encoded state in a replicated
// register and repeats Apply on the newest value until its write succeeds.
//
// What holds for every sequence of commands:
//
//   - A version number belongs to the first content proposed under it, for good.
//   - The accepted version only grows.
//   - A command sent again under its request id gets the first answer again.
//   - Every answer given to a named operator is an entry of a hash chain.
package control
