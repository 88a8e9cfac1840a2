package main

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/standin/measure"
)

func TestTableIsReplacedBetweenItsMarks(t *testing.T) {
	g := NewWithT(t)
	file := filepath.Join(t.TempDir(), "page.md")
	g.Expect(os.WriteFile(file, []byte("above\n"+beginMark+"old\n"+endMark+"below\n"), 0o644)).To(Succeed())
	g.Expect(writePage(file, "new\n")).To(Succeed())
	text, err := os.ReadFile(file)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(text)).To(Equal("above\n" + beginMark + "new\n" + endMark + "below\n"))

	g.Expect(os.WriteFile(file, []byte("no marks"), 0o644)).To(Succeed())
	g.Expect(writePage(file, "new\n")).To(MatchError(ContainSubstring("marks")))
}

func TestExtrapolationIsMarkedWithItsFactor(t *testing.T) {
	g := NewWithT(t)
	points := []point{
		{1, measure.Cost{Cores: 0.01}, "-"},
		{2, measure.Cost{Cores: 0.02}, "-"},
		{4, measure.Cost{Cores: 0.04}, "-"},
	}
	g.Expect(table(experiment{target: 8}, points)).To(ContainSubstring("| **at 8, extrapolated 2.0 times** | 8.00 |"))
	g.Expect(table(experiment{target: 3}, points)).To(ContainSubstring("| **at 3** | 3.00 |"))
}
