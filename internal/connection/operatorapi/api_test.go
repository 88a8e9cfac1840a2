package operatorapi_test

import (
	"bytes"
	"crypto/ed25519"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/operatorapi"
	"wasabifield.example/wasabifield/internal/connection/operatorapi/operatorapitest"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/report"
	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
)

var (
	startTime     = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	operatorKey   = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	firstDocument = []byte("version: 1\n")
	nextDocument  = []byte("version: 2\nbased_on: 1\nretry: {attempts: 2}\n")
)

func clock() time.Time { return startTime }

type fixture struct {
	*WithT
	server   *httptest.Server
	register *operatorapitest.Register
}

func newFixture(t *testing.T) *fixture {
	rules := control.Rules{
		RequiredApprovals: 1,
		Operators:         []control.Operator{{Name: "linh", Key: operatorKey.Public().(ed25519.PublicKey)}},
	}
	register := operatorapitest.NewRegister(clock)
	register.SetRules(rules)
	mux := http.NewServeMux()
	operatorapi.New(operatorapi.Config{
		Host:         "a1",
		MaxBodyBytes: 16 << 10,
		Rules:        rules,
		Changer:      register,
		Reporter:     report.NewRecorder("a1", startTime),
		Clock:        clock,
		Log:          slog.New(slog.DiscardHandler),
	}).Register(mux)
	f := &fixture{WithT: NewWithT(t), server: httptest.NewServer(mux), register: register}
	t.Cleanup(f.server.Close)
	return f
}

func signedCommand(action control.Action, request string, text []byte, version uint64) control.Command {
	c := control.Command{RequestID: request, Operator: "linh", Action: action, Version: version, Digest: bundle.DigestOf(text)}
	if action == control.Propose || action == control.Replace {
		c.Document = text
	}
	if action == control.Approve || action == control.Replace {
		c.Approvals = []control.Approval{control.NewApproval("linh", operatorKey, version, c.Digest)}
	}
	return c.Sign(operatorKey)
}

// post sends a body and returns the response and the decoded answer.
func (f *fixture) post(path string, body []byte) (*http.Response, control.Answer) {
	response, err := http.Post(f.server.URL+wire.PathControl+path, "application/json", bytes.NewReader(body))
	f.Expect(err).NotTo(HaveOccurred())
	var answer control.Answer
	f.decode(response, &answer)
	return response, answer
}

func (f *fixture) send(c control.Command) (*http.Response, control.Answer) {
	body, err := json.Marshal(c)
	f.Expect(err).NotTo(HaveOccurred())
	return f.post(string(c.Action), body)
}

func (f *fixture) get(path string, document any) int {
	response, err := http.Get(f.server.URL + path)
	f.Expect(err).NotTo(HaveOccurred())
	f.decode(response, document)
	return response.StatusCode
}

func (f *fixture) decode(response *http.Response, document any) {
	body, err := io.ReadAll(response.Body)
	f.Expect(err).NotTo(HaveOccurred())
	f.Expect(response.Body.Close()).To(Succeed())
	f.Expect(json.Unmarshal(body, document)).To(Succeed(), string(body))
}

func TestABundleIsProposedApprovedAndRolledThroughTheAPI(t *testing.T) {
	f := newFixture(t)
	for i, action := range []control.Action{control.Propose, control.Approve, control.Roll} {
		response, answer := f.send(signedCommand(action, "q"+string(action), firstDocument, 1))
		f.Expect(response.StatusCode).To(Equal(http.StatusOK), answer.Message)
		f.Expect(answer.Sequence).To(Equal(uint64(i + 1)))
	}
	_, answer := f.send(signedCommand(control.Replace, "r", nextDocument, 2))
	f.Expect(answer.Accepted).To(Equal(uint64(2)))

	var status wire.ControlStatus
	f.get(wire.PathStatus, &status)
	f.Expect(status.Accepted.Version).To(Equal(uint64(2)))
	f.Expect(status.NextVersion).To(Equal(uint64(3)))
	f.Expect(status.Confirmed).To(BeTrue())
	var history wire.History
	f.get(wire.PathHistory, &history)
	f.Expect(history.Versions).To(HaveLen(2))
	f.Expect(history.Versions[1].Status).To(Equal(control.Superseded))
	f.Expect(history.Versions[1].ApprovedBy).To(Equal([]string{"linh"}))
	var document wire.VersionDocument
	f.get(wire.PathVersions+"/1", &document)
	f.Expect(document.Document).To(Equal(firstDocument))
	var diff wire.Diff
	f.get(wire.PathDiff+"?from=1&to=2", &diff)
	f.Expect(diff.Lines).To(HaveLen(4))
	var page wire.AuditPage
	f.get(wire.PathAudit, &page)
	f.Expect(control.VerifyTo(page.Head, page.Entries)).To(Succeed())
	f.Expect(page.Entries).To(HaveLen(4))
}

func TestADryRunChangesNothing(t *testing.T) {
	f := newFixture(t)
	body, err := json.Marshal(signedCommand(control.Replace, "r", firstDocument, 1))
	f.Expect(err).NotTo(HaveOccurred())
	_, answer := f.post("replace?dry_run=true", body)
	f.Expect(answer.Message).To(Equal("version 1 is accepted"))
	var status wire.ControlStatus
	f.get(wire.PathStatus, &status)
	f.Expect(status.Accepted).To(BeNil())
}

func TestARefusalStatesWhetherTheCommandRan(t *testing.T) {
	f := newFixture(t)
	response, answer := f.send(signedCommand(control.Roll, "q", firstDocument, 1))
	f.Expect(response.StatusCode).To(Equal(http.StatusNotFound))
	f.Expect(answer.Kind).To(Equal(failure.NotFound))
	f.Expect(response.Header.Get(wire.RanHeader)).To(Equal("no"))

	f.register.FailWith(failure.NoQuorum)
	response, answer = f.send(signedCommand(control.Propose, "p", firstDocument, 1))
	f.Expect(answer.Kind).To(Equal(failure.NoQuorum))
	f.Expect(response.Header.Get(wire.RanHeader)).To(Equal("no"))
	f.Expect(response.Header.Get("Retry-After")).To(Equal("2"))

	f.register.FailWith(failure.Undecided)
	response, answer = f.send(signedCommand(control.Propose, "p", firstDocument, 1))
	f.Expect(answer.Kind).To(Equal(failure.Undecided))
	f.Expect(response.Header.Get(wire.RanHeader)).To(Equal("unknown"))
}

func TestACommandErrorNamesTheField(t *testing.T) {
	cases := map[string]struct {
		body, field string
		kind        failure.Kind
	}{
		"unknown field": {`{"colour": 1}`, "colour", failure.InvalidRequest},
		"wrong type":    {`{"version": "one"}`, "version", failure.InvalidRequest},
		"other action":  {`{"action": "roll"}`, "action", failure.InvalidRequest},
		"not JSON":      {`version: 1`, "body", failure.InvalidRequest},
		"two documents": {`{"action": "propose"} {}`, "body", failure.InvalidRequest},
		"too large":     {strings.Repeat(" ", 16<<10+1), "body", failure.TooLarge},
		"no request id": {`{"action": "propose"}`, "request", failure.InvalidRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			_, answer := f.post("propose", []byte(c.body))
			f.Expect(answer.Kind).To(Equal(c.kind))
			f.Expect(answer.Field).To(Equal(c.field))
		})
	}
}

func TestAnInvalidQueryIsRefusedWithItsParameter(t *testing.T) {
	cases := map[string]struct {
		path, field string
		kind        failure.Kind
	}{
		"version":    {wire.PathVersions + "/x", "version", failure.InvalidRequest},
		"no version": {wire.PathVersions + "/9", "version", failure.NotFound},
		"diff":       {wire.PathDiff + "?from=0&to=7", "to", failure.NotFound},
		"audit":      {wire.PathAudit + "?from=-1", "from", failure.InvalidRequest},
		"time":       {wire.PathReport + "?from=yesterday", "from", failure.InvalidRequest},
		"period":     {wire.PathReport + "?from=2027-01-01T00:00:00Z", "from", failure.InvalidRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			var answer control.Answer
			f.get(c.path, &answer)
			f.Expect(answer.Kind).To(Equal(c.kind))
			f.Expect(answer.Field).To(Equal(c.field))
		})
	}
}

func TestAReportCoversTheLastDayByDefault(t *testing.T) {
	f := newFixture(t)
	var got report.Report
	f.get(wire.PathReport, &got)
	f.Expect(got.From).To(Equal(startTime.Add(-24 * time.Hour)))
	f.Expect(got.Hosts).To(Equal([]string{"a1"}))
}
