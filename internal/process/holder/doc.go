// Package holder decides which entry host holds a pool of targets: the targets
// of one failure domain. Only the holder orders them, under a fencing token that
// grows with each change of holder, so that a former holder that was frozen or
// cut off is refused by the targets.
//
// No agreement stands before a claim, so a domain that is cut off goes on. Two
// hosts may claim at once; the higher token wins, and the other yields as soon
// as it hears of it from the other host or from a target.
//
// The package is pure: time and what others say are arguments.
package holder
