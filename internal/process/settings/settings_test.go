package settings_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/process/settings"
)

const validSettings = `
host: a1
domain: north
http: 127.0.0.1:7000
peer: 127.0.0.1:7001
peers:
  - {host: b1, domain: south, peer: "127.0.0.1:7002"}
`

func TestOmittedFieldsGetDefaults(t *testing.T) {
	g := NewWithT(t)
	s, err := settings.Parse([]byte(validSettings))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Limits).To(Equal(settings.Default().Limits))
}

func TestAllFaultsAreReportedTogether(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.Parse([]byte(`
host: A
domain: north
http: localhost:7000
peer: 127.0.0.1:7001
limits: {ring: 3}
`))
	g.Expect(err).To(MatchError(And(
		ContainSubstring(`host: is "A", must be`),
		ContainSubstring(`http: is "localhost:7000", must be an IP number and port`),
		ContainSubstring(`limits.ring: is "3", must be from 16 to 1048576`),
	)))
}

func TestUnknownFieldIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, err := settings.Parse([]byte(validSettings + "\ncolour: red\n"))
	g.Expect(err).To(MatchError(ContainSubstring("colour")))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(_ *testing.T, text []byte) {
		_, _ = settings.Parse(text)
	})
}
