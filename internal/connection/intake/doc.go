// Package intake bounds what the clients of a listener may use of the process: memory
// and connections. Memory is charged as bytes arrive, not as headers announce them. When
// a bound is reached, the connections that hold much and have made no progress for long
// give way to others; a request that has arrived in full is never ended for another one.
// If nothing gives way, the new request or connection is refused before it has run.
//
// Limiter holds the accounts and decides who gives way, without a network. Server joins
// it to net/http.
package intake
