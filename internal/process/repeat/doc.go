// Package repeat decides when a request to a target that has not been answered is sent
// again, and when its target counts as lost. Targets accept copies of a request: a copy of
// a start finds the run there, a copy of a stop or of a renewal changes nothing.
//
// It answers the load of targets that leave part of their requests unanswered, or carry
// them out seconds later. Without copies, each of these requests costs a timeout, a stop
// and a start elsewhere, which are left unanswered as often.
//
// Nothing here sends or waits; callers pass times and results.
package repeat
