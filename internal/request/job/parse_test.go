package job_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
)

const validJob = `{"ticket":"t","team":"huts","deadline_ms":1000,"tasks":[{"id":"a","payload":{"x":1}},{"id":"b"}]}`

func jobWithTasks(count int) string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf(`{"id":"t%d"}`, i)
	}
	return `{"team":"huts","tasks":[` + strings.Join(list, ",") + `]}`
}

func TestInvalidJobErrorNamesTheField(t *testing.T) {
	cases := map[string]struct {
		body  string
		kind  failure.Kind
		field string
	}{
		"not JSON":            {`{"team":`, failure.InvalidRequest, "body"},
		"no JSON at all":      {``, failure.InvalidRequest, "body"},
		"data after the job":  {validJob + `{}`, failure.InvalidRequest, "body"},
		"unknown field":       {`{"team":"huts","colour":1}`, failure.InvalidRequest, "colour"},
		"wrong type":          {`{"team":7}`, failure.InvalidRequest, "team"},
		"no team":             {`{"tasks":[{"id":"a"}]}`, failure.InvalidRequest, "team"},
		"no task":             {`{"team":"huts","tasks":[]}`, failure.InvalidRequest, "tasks"},
		"too many tasks":      {jobWithTasks(job.MaxTasks + 1), failure.TooLarge, "tasks"},
		"duplicate id":        {`{"team":"huts","tasks":[{"id":"a"},{"id":"a"}]}`, failure.InvalidRequest, "tasks[1].id"},
		"no id":               {`{"team":"huts","tasks":[{}]}`, failure.InvalidRequest, "tasks[0].id"},
		"id with a line end":  {`{"team":"huts","tasks":[{"id":"a\nb"}]}`, failure.InvalidRequest, "tasks[0].id"},
		"negative deadline":   {`{"team":"huts","deadline_ms":-1,"tasks":[{"id":"a"}]}`, failure.InvalidRequest, "deadline_ms"},
		"deadline too long":   {`{"team":"huts","deadline_ms":600001,"tasks":[{"id":"a"}]}`, failure.InvalidRequest, "deadline_ms"},
		"negative estimate":   {`{"team":"huts","tasks":[{"id":"a","declared_ms":-1}]}`, failure.InvalidRequest, "tasks[0].declared_ms"},
		"kind too long":       {`{"team":"huts","tasks":[{"id":"a","kind":"` + strings.Repeat("k", 129) + `"}]}`, failure.InvalidRequest, "tasks[0].kind"},
		"field in wrong case": {`{"Team":"huts","TASKS":[{"id":"a"}],"x":1}`, failure.InvalidRequest, "x"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := job.Parse([]byte(c.body))
			refusal, ok := failure.As(err)
			g.Expect(ok).To(BeTrue(), "%v", err)
			g.Expect(refusal.Kind).To(Equal(c.kind))
			g.Expect(refusal.Field).To(Equal(c.field))
		})
	}
}

func TestLargestJobIsAccepted(t *testing.T) {
	g := NewWithT(t)
	spec, err := job.Parse([]byte(jobWithTasks(job.MaxTasks)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(spec.Tasks).To(HaveLen(job.MaxTasks))
}

func TestDigestDependsOnlyOnTheContent(t *testing.T) {
	g := NewWithT(t)
	digest := func(body string) uint64 {
		spec, err := job.Parse([]byte(body))
		g.Expect(err).NotTo(HaveOccurred())
		return spec.Digest()
	}
	same := []string{
		strings.Replace(validJob, `"ticket":"t"`, `"ticket":"other"`, 1),
		strings.Replace(validJob, `{"x":1}`, `{ "x" : 1 }`, 1),
	}
	for _, body := range same {
		g.Expect(digest(body)).To(Equal(digest(validJob)), body)
	}
	other := []string{
		strings.Replace(validJob, "huts", "bins", 1),
		strings.Replace(validJob, "1000", "1001", 1),
		strings.Replace(validJob, `{"x":1}`, `{"x":2}`, 1),
		strings.Replace(validJob, `"id":"b"`, `"id":"c"`, 1),
		strings.Replace(validJob, `{"id":"b"}`, `{"id":"b","accelerator":true}`, 1),
	}
	for _, body := range other {
		g.Expect(digest(body)).NotTo(Equal(digest(validJob)), body)
	}
}

// FuzzParse checks that Encode and Parse keep the digest of every accepted job. A
// spilled job is encoded for the other host.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validJob))
	f.Add([]byte(jobWithTasks(3)))
	f.Add([]byte(`{"team":"<&>","tasks":[{"id":"<","payload":"<&>\u2028"}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		spec, err := job.Parse(body)
		if err != nil {
			if _, ok := failure.As(err); !ok {
				t.Fatalf("an error without a kind: %v", err)
			}
			return
		}
		text, err := spec.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := job.Parse(text)
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if again.Digest() != spec.Digest() {
			t.Fatalf("%s: the digest changed", text)
		}
	})
}
