// Package report counts how jobs were answered and says so in words for people
// who do not know the system's terms.
package report
