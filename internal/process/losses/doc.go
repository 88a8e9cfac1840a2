// Package losses remembers which tasks were running on targets that were lost, and
// finds out whether those targets crashed or were only silent. Package scheduler
// records the losses and asks how often targets have crashed under a task; package
// fleet passes losses between hosts and resolves them by the targets' announcements.
//
// A task that crashes the targets that start it shows in no report of a target: the
// target is gone with its lists. The only trace is that a later incarnation announces
// itself under the target's id or at its address.
//
// The package does no I/O and reads no clock. A Table is safe for concurrent use,
// because the pools of a host share it: a job may be sent again to another pool.
package losses
