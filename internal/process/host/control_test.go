package host_test

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
)

var operatorKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

// withDisks gives the named hosts a disk and all hosts one operator.
func withDisks(t *testing.T, disks ...string) func(name string, s *settings.Settings) {
	folders := map[string]string{}
	for _, name := range disks {
		folders[name] = t.TempDir()
	}
	public := operatorKey.Public().(ed25519.PublicKey)
	return func(name string, s *settings.Settings) {
		s.DataFolder = folders[name]
		s.Operators = []settings.Operator{{Name: "linh", PublicKey: base64.StdEncoding.EncodeToString(public)}}
		for i, p := range s.Peers {
			s.Peers[i].Disk = folders[p.Host] != ""
		}
	}
}

// command sends a signed command and returns the answer.
func (f *fleet) command(name string, c control.Command) control.Answer {
	body, _ := json.Marshal(c.Sign(operatorKey))
	address := "http://" + f.hosts[name].HTTP + wire.PathControl + string(c.Action)
	response, err := http.Post(address, "application/json", bytes.NewReader(body))
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var answer control.Answer
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return answer
}

// roll brings a version through propose, approve and roll at one host.
func (f *fleet) roll(name string, version, basedOn uint64) {
	document := fmt.Appendf(nil, "version: %d\nbased_on: %d\n", version, basedOn)
	digest := bundle.DigestOf(document)
	c := control.Command{Operator: "linh", Version: version, Digest: digest}
	propose, approve, roll := c, c, c
	propose.Action, propose.Document = control.Propose, document
	approve.Action = control.Approve
	approve.Approvals = []control.Approval{control.NewApproval("linh", operatorKey, version, digest)}
	roll.Action = control.Roll
	for _, step := range []control.Command{propose, approve, roll} {
		step.RequestID = fmt.Sprintf("%s-%d", step.Action, version)
		g := NewWithT(f.t)
		g.Eventually(func() string { return string(f.command(name, step).Kind) }, limit, poll).Should(BeEmpty(), string(step.Action))
	}
}

// ready reports whether a host takes new work.
func (f *fleet) ready(name string) bool {
	response, err := http.Get("http://" + f.hosts[name].HTTP + wire.PathReady)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// inForce returns the version that a host's answers state, 0 if none.
func (f *fleet) inForce(name string) uint64 {
	version := f.submit(name, f.ticket(name)).Bundle
	if version == nil {
		return 0
	}
	return *version
}

func TestAcceptedBundleIsInForceAtEveryHost(t *testing.T) {
	g := NewWithT(t)
	f := startFleetWith(t, withDisks(t, "a1", "b1", "c1"), "a1", "a2", "b1", "b2", "c1", "c2")
	f.roll("b2", 1, 0)
	for name := range f.hosts {
		g.Eventually(func() uint64 { return f.inForce(name) }, limit, poll).Should(BeEquivalentTo(1), name)
	}
	f.stops["a2"]()
	f.stops["c1"]()
	f.roll("a1", 2, 1)
	for _, name := range []string{"a2", "c1"} {
		f.start(f.hosts[name])
		g.Eventually(func() bool { return f.ready(name) }, limit, poll).Should(BeTrue(), name)
	}
	for name := range f.hosts {
		g.Eventually(func() uint64 { return f.inForce(name) }, limit, poll).Should(BeEquivalentTo(2), name)
	}
}

// TestRestartedHostStatesNoOlderBundle asks a restarted host without a disk
// from its first moment on.
func TestRestartedHostStatesNoOlderBundle(t *testing.T) {
	g := NewWithT(t)
	f := startFleetWith(t, withDisks(t, "b1"), "a1", "a2", "b1")
	f.roll("b1", 1, 0)
	for name := range f.hosts {
		g.Eventually(func() uint64 { return f.inForce(name) }, limit, poll).Should(BeEquivalentTo(1), name)
	}
	for range 3 {
		f.stops["a2"]()
		f.start(f.hosts["a2"])
		var first *uint64
		g.Eventually(func() *uint64 { first = f.stated("a2"); return first }, limit, time.Millisecond).ShouldNot(BeNil())
		g.Expect(*first).To(BeEquivalentTo(1))
	}
}

// stated returns the bundle that a host's refusal of an empty submission
// states, nil if the host does not listen yet or states none.
func (f *fleet) stated(name string) *uint64 {
	response, err := http.Post("http://"+f.hosts[name].HTTP+wire.PathJobs, "application/json", http.NoBody)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer job.Answer
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return answer.Bundle
}
