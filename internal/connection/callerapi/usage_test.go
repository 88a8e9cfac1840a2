package callerapi

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/request/failure"
)

func TestAUsageErrorNamesTheInvalidField(t *testing.T) {
	tooLongName := strings.Repeat("w", 129)
	cases := map[string]string{
		`[{"worker":"w","age_ms":5,"processors":0.5,"memory":1}]`: "",
		`{"worker":"w"}`:                                "body",
		`[{"worker":"w","cores":3}]`:                    "body",
		`[{"worker":""}]`:                               "[0].worker",
		`[{"worker":"` + tooLongName + `"}]`:            "[0].worker",
		`[{"worker":"w","age_ms":-1}]`:                  "[0].age_ms",
		`[{"worker":"w","processors":1.1}]`:             "[0].processors",
		`[{"worker":"w"},{"worker":"v","memory":-0.1}]`: "[1].memory",
	}
	for body, field := range cases {
		g := NewWithT(t)
		_, err := parseUsage([]byte(body))
		if field == "" {
			g.Expect(err).NotTo(HaveOccurred())
			continue
		}
		refusal, ok := failure.As(err)
		g.Expect(ok).To(BeTrue(), body)
		g.Expect(refusal.Field).To(Equal(field))
	}
}
