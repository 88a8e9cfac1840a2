package catalog_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/standin/fixedseed"
	"wasabifield.example/wasabifield/internal/version/catalog"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

func validCatalog() catalog.Catalog {
	return catalog.Catalog{
		Version: 3,
		Queues: []catalog.Queue{
			{Name: "q", Host: "a.example", PathPrefix: "/x/", Service: "desk", Timeout: time.Second},
			{Name: "r", Host: "a.example", PathPrefix: "/x/y/", Service: "desk", Timeout: time.Second},
		},
		Services: []catalog.Service{{Name: "desk"}},
	}
}

func TestCheckErrorNamesTheFault(t *testing.T) {
	faults := map[string]func(*catalog.Catalog){
		"version":              func(c *catalog.Catalog) { c.Version = 0 },
		"unknown service":      func(c *catalog.Catalog) { c.Queues[0].Service = "none" },
		"no timeout":           func(c *catalog.Catalog) { c.Queues[1].Timeout = 0 },
		"the host and prefix":  func(c *catalog.Catalog) { c.Queues[1].PathPrefix = "/x/" },
		"does not begin with ": func(c *catalog.Catalog) { c.Queues[1].PathPrefix = "x" },
		"has no name":          func(c *catalog.Catalog) { c.Queues[1].Name = "" },
	}
	g := NewWithT(t)
	g.Expect(validCatalog().Check()).To(Succeed())
	for text, mutate := range faults {
		c := validCatalog()
		mutate(&c)
		err := c.Check()
		g.Expect(err).To(MatchError(ContainSubstring(text)))
		g.Expect(failure.KindOf(err)).To(Equal(failure.InvalidRequest))
	}
}

func TestARefusedCatalogLeavesNoMessageForEachOfItsFaults(t *testing.T) {
	g := NewWithT(t)
	c := validCatalog()
	c.Queues = make([]catalog.Queue, 1000)
	g.Expect(c.Check()).NotTo(Succeed())
	g.Expect(testing.AllocsPerRun(10, func() { _ = c.Check() })).To(BeNumerically("<", 100))
	g.Expect(c.Errors()).To(HaveLen(1000*4 + 999))
}

func TestTheLongestPrefixOfTheHostMatches(t *testing.T) {
	g := NewWithT(t)
	c := validCatalog()
	for path, want := range map[string]string{"/x/1": "q", "/x/y/1": "r", "/x/y": "q"} {
		q, ok := c.Match("A.example", path)
		g.Expect(ok).To(BeTrue())
		g.Expect(q.Name).To(Equal(want), path)
	}
	_, ok := c.Match("b.example", "/x/1")
	g.Expect(ok).To(BeFalse())
}

// TestHighestVersionIsKept offers random versions, in any order and repeatedly. The
// version must never decrease, and each version must keep its first document.
func TestHighestVersionIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var content []byte
		first := map[uint64]string{}
		var highest uint64
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			version := rapid.Uint64Range(1, 9).Draw(t, "version")
			document := rapid.SampledFrom([]string{`{"a":1}`, `{"a":2}`}).Draw(t, "document")
			next, err := catalog.ReplaceIfNewer(content, catalog.Stored{Version: version, Document: []byte(document)})
			if err != nil {
				t.Fatal(err)
			}
			content = next
			if version > highest {
				highest = version
				first[version] = document
			}
			held, err := catalog.DecodeStored(content)
			if err != nil || held.Version != highest || string(held.Document) != first[highest] {
				t.Fatalf("holds %+v, %v; want version %d with %s", held, err, highest, first[highest])
			}
		}
	})
}

func TestContentThatCannotBeReadIsAnError(t *testing.T) {
	g := NewWithT(t)
	_, err := catalog.ReplaceIfNewer([]byte("{"), catalog.Stored{Version: 1})
	g.Expect(err).To(HaveOccurred())
}

// A document with 1,640 queues is half a megabyte long and is sent to fifty hosts over
// links of 25 Mbit/s with each change, so it is compressed.
func TestLargeDocumentIsCompressedWithoutLoss(t *testing.T) {
	g := NewWithT(t)
	var text strings.Builder
	text.WriteString(`{"version":7,"routes":[`)
	for i := range 1640 {
		fmt.Fprintf(&text, `{"name":"r-%x","host":"h%d.example","path_prefix":"/p%d/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":"desk","max_attempts":3,"slack_factor":1.6},`, i*7919, i, i*31)
	}
	text.WriteString(`{}]}`)
	content, err := catalog.ReplaceIfNewer(nil, catalog.Stored{Version: 7, Document: []byte(text.String())})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(content)).To(BeNumerically("<", text.Len()/5))
	g.Expect(catalog.VersionOf(content)).To(Equal(uint64(7)))
	held, err := catalog.DecodeStored(content)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(held.Document)).To(Equal(text.String()))
	same, err := catalog.ReplaceIfNewer(content, catalog.Stored{Version: 7, Document: []byte(`{}`)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(same).To(Equal(content))
}

func TestDamagedCompressedDocumentIsAnError(t *testing.T) {
	_, err := catalog.DecodeStored([]byte(`{"version":1,"packed":"AAAA"}`))
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("decompressed")))
}

// A document with space or with characters that package json escapes came back changed.
func TestADocumentIsReadBackByteForByte(t *testing.T) {
	g := NewWithT(t)
	for _, document := range []string{"{ \"a\": \"<&>\",\n \"b\": 1 }", "{\"a\":\"\u2028\"}", `{"a":1}`} {
		content, err := catalog.ReplaceIfNewer(nil, catalog.Stored{Version: 1, Document: []byte(document)})
		g.Expect(err).NotTo(HaveOccurred())
		held, err := catalog.DecodeStored(content)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(held.Document)).To(Equal(document))
	}
}
