package failure_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// countDeclaredKinds returns the number of constants of type Kind in the source file,
// so that a test fails if a kind without a row is added.
func countDeclaredKinds(t *testing.T) int {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "kind.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if id, ok := spec.Type.(*ast.Ident); ok && id.Name == "Kind" {
			count++
		}
		return true
	})
	return count
}

func TestEveryKindHasARow(t *testing.T) {
	g := NewWithT(t)
	g.Expect(failure.Kinds()).To(HaveLen(countDeclaredKinds(t)))
}

func TestAttemptDidNotRunWhenJobDidNotRun(t *testing.T) {
	g := NewWithT(t)
	for _, k := range failure.Kinds() {
		row := failure.Lookup(k)
		if row.JobRan == failure.No {
			g.Expect(row.AttemptRan).To(Equal(failure.No), string(k))
		}
		g.Expect(row.Status).To(BeNumerically(">=", 400), string(k))
	}
}

const failuresPage = "../../../docs/operations/failures.md"

func TestTheOperatorsPageStatesEveryRow(t *testing.T) {
	g := NewWithT(t)
	page, err := os.ReadFile(failuresPage)
	g.Expect(err).NotTo(HaveOccurred())
	for _, k := range failure.Kinds() {
		row := failure.Lookup(k)
		retryAfter := row.RetryAfter.String()
		switch row.RetryAfter {
		case failure.Never:
			retryAfter = "never"
		case 0:
			retryAfter = "at once"
		}
		line := fmt.Sprintf("| `%s` | %d | %s | %s | %s |", k, row.Status, row.AttemptRan, row.JobRan, retryAfter)
		g.Expect(string(page)).To(ContainSubstring(line))
	}
}
