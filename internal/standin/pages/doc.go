// Package pages holds the tests of the project's pages: what they list is what
// the programs have.
package pages
