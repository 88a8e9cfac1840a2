// Package evacuation holds which failure domains an operator has evacuated: their targets
// get no new work until the evacuation is withdrawn. The set is replicated with the
// control state; the hosts that replicate it decide the order of requests.
//
// The package performs no I/O.
package evacuation
