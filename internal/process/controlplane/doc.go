// Package controlplane joins the parts of the control path at one host: the
// replicated register, the control state in it, the audit trail on the disk,
// and the bundle that comes into force.
//
// A host is informed once it knows that no newer bundle was in force in its
// domain than the one it holds. Until then it takes no new work, so that a
// restarted host never serves with an older bundle than it or its domain did.
package controlplane
