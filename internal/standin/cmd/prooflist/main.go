// Command prooflist checks docs/PROOFS.md: each row names a test that exists
// in the tree, or states that its point is not proved. It prints how many points
// are proved and exits 1 if a row is wrong.
package main

import (
	"fmt"
	"os"
)

func main() {
	rows, err := readRows("docs/PROOFS.md")
	if err != nil {
		fmt.Fprintln(os.Stderr, "prooflist:", err)
		os.Exit(1)
	}
	proved, faults := check(os.DirFS("."), rows)
	for _, fault := range faults {
		fmt.Fprintln(os.Stderr, "prooflist:", fault)
	}
	fmt.Printf("prooflist: %d rows, %d with a test, %d not proved\n", len(rows), proved, len(rows)-proved)
	if len(faults) > 0 {
		os.Exit(1)
	}
}
