package catalog_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/version/catalog"
	"wasabifield.example/wasabifield/internal/version/evacuation"
)

// Guards against a document that loses an evacuation, an evacuation that changes the
// stored document or its version, and a repeated request that writes again.
func TestDocumentsAndEvacuationsChangeIndependently(t *testing.T) {
	large := `"` + strings.Repeat("a <b> ", 4000) + `"`
	rapid.Check(t, func(t *rapid.T) {
		var content []byte
		var want evacuation.Set
		for i := range rapid.IntRange(1, 20).Draw(t, "requests") {
			before := storedDocument(t, content)
			domain := rapid.SampledFrom([]string{"north", "south"}).Draw(t, "domain")
			switch rapid.IntRange(0, 2).Draw(t, "request") {
			case 0:
				document := rapid.SampledFrom([]string{`{"a":"<"}`, large}).Draw(t, "document")
				content, _ = catalog.ReplaceIfNewer(content, catalog.Stored{Version: rapid.Uint64Range(1, 9).Draw(t, "version"), Document: []byte(document)})
				before = storedDocument(t, content)
			case 1:
				content = change(t, content, func(s evacuation.Set) evacuation.Set { return s.Start(domain, time.Unix(int64(i), 0).UTC()) })
				want = want.Start(domain, time.Unix(int64(i), 0).UTC())
			case 2:
				content = change(t, content, func(s evacuation.Set) evacuation.Set { return s.Withdraw(domain) })
				want = want.Withdraw(domain)
			}
			held, err := catalog.DecodeStored(content)
			if err != nil || len(held.Evacuations) != len(want) {
				t.Fatalf("holds %v, %v; want %v", held.Evacuations, err, want)
			}
			for _, e := range want {
				if h, ok := held.Evacuations.Find(e.Domain); !ok || !h.Since.Equal(e.Since) {
					t.Fatalf("%s: holds %v, want since %v", e.Domain, h, e.Since)
				}
			}
			if after := storedDocument(t, content); after != before {
				t.Fatalf("an evacuation changed the stored document from %q to %q", before, after)
			}
		}
	})
}

func change(t *rapid.T, content []byte, f func(evacuation.Set) evacuation.Set) []byte {
	next, err := catalog.ChangeEvacuations(content, f)
	if err != nil {
		t.Fatal(err)
	}
	again, err := catalog.ChangeEvacuations(next, f)
	if err != nil || string(again) != string(next) {
		t.Fatalf("the repeated request changed %s to %s, %v", next, again, err)
	}
	return next
}

// storedDocument returns the version and document as they are stored.
func storedDocument(t *rapid.T, content []byte) string {
	fields := map[string]json.RawMessage{"version": json.RawMessage("0")}
	if len(content) > 0 {
		if err := json.Unmarshal(content, &fields); err != nil {
			t.Fatal(err)
		}
	}
	return string(fields["version"]) + string(fields["document"]) + string(fields["packed"])
}

func TestEvacuationsWithoutADocumentAreStored(t *testing.T) {
	g := NewWithT(t)
	content, err := catalog.ChangeEvacuations(nil, func(s evacuation.Set) evacuation.Set { return s.Start("north", time.Unix(1, 0).UTC()) })
	g.Expect(err).NotTo(HaveOccurred())
	held, err := catalog.DecodeStored(content)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(held.Version).To(BeZero())
	g.Expect(held.Evacuations).To(HaveLen(1))
}
