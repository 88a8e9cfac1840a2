// Package controlplane implements the control path of one host. It combines the
// replicated register, the control state in that register, the audit trail on
// disk and the bundle in force. The host process runs a Plane, gives it the
// operators' commands and is told which bundle to activate. The package neither
// defines the rules for changes nor replicates the state itself: the packages
// control and controller do.
//
// A host is caught up once it knows that the bundle it holds is at least as new
// as any that was in force in its domain. Until then it accepts no new work, so
// that a restarted host never serves with an older bundle than it or its domain
// did before.
package controlplane
