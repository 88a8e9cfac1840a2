package failure_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/request/failure"
)

// declaredKinds reads the constants of type Kind from the source, so that a
// kind without a row cannot be added unseen.
func declaredKinds(t *testing.T) int {
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
	g.Expect(failure.Kinds()).To(HaveLen(declaredKinds(t)))
}

func TestARefusalThatStartedNothingSaysSo(t *testing.T) {
	g := NewWithT(t)
	for _, k := range failure.Kinds() {
		row := failure.Lookup(k)
		if row.JobRan == failure.No {
			g.Expect(row.AttemptRan).To(Equal(failure.No), string(k))
		}
		g.Expect(row.Status).To(BeNumerically(">=", 400), string(k))
	}
}
