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

// withDisks returns a change of settings that gives the named hosts a data
// folder and all hosts one operator.
func withDisks(t *testing.T, disks ...string) func(name string, s *settings.Settings) {
	dataFolders := map[string]string{}
	for _, name := range disks {
		dataFolders[name] = t.TempDir()
	}
	publicKey := operatorKey.Public().(ed25519.PublicKey)
	return func(name string, s *settings.Settings) {
		s.DataFolder = dataFolders[name]
		s.Operators = []settings.Operator{{Name: "linh", PublicKey: base64.StdEncoding.EncodeToString(publicKey)}}
		for i, p := range s.Peers {
			s.Peers[i].HasDisk = dataFolders[p.Host] != ""
		}
	}
}

// sendCommand sends a signed operator command to a host and returns its answer.
func (f *fleet) sendCommand(name string, c control.Command) control.Answer {
	body, _ := json.Marshal(c.Sign(operatorKey))
	address := "http://" + f.hosts[name].HTTPAddress + wire.PathControl + string(c.Action)
	response, err := http.Post(address, "application/json", bytes.NewReader(body))
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var answer control.Answer
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return answer
}

// rollOut proposes, approves and rolls out a bundle version through one host.
func (f *fleet) rollOut(name string, version, basedOn uint64) {
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
		g.Eventually(func() string { return string(f.sendCommand(name, step).Kind) }, eventuallyTimeout, pollInterval).Should(BeEmpty(), string(step.Action))
	}
}

// isReady reports whether a host accepts new work.
func (f *fleet) isReady(name string) bool {
	response, err := http.Get("http://" + f.hosts[name].HTTPAddress + wire.PathReady)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// bundleInForce returns the bundle version that a host's answers state, 0 if
// they state none.
func (f *fleet) bundleInForce(name string) uint64 {
	version := f.submit(name, f.issueTicket(name)).BundleVersion
	if version == nil {
		return 0
	}
	return *version
}

func TestAcceptedBundleIsInForceAtEveryHost(t *testing.T) {
	g := NewWithT(t)
	f := startFleetWith(t, withDisks(t, "a1", "b1", "c1"), "a1", "a2", "b1", "b2", "c1", "c2")
	f.rollOut("b2", 1, 0)
	for name := range f.hosts {
		g.Eventually(func() uint64 { return f.bundleInForce(name) }, eventuallyTimeout, pollInterval).Should(BeEquivalentTo(1), name)
	}
	f.drainHost["a2"]()
	f.drainHost["c1"]()
	f.rollOut("a1", 2, 1)
	for _, name := range []string{"a2", "c1"} {
		f.startHost(f.hosts[name])
		g.Eventually(func() bool { return f.isReady(name) }, eventuallyTimeout, pollInterval).Should(BeTrue(), name)
	}
	for name := range f.hosts {
		g.Eventually(func() uint64 { return f.bundleInForce(name) }, eventuallyTimeout, pollInterval).Should(BeEquivalentTo(2), name)
	}
}

// TestRestartedHostNeverReportsOlderBundle polls a restarted host without a disk
// every millisecond from its start. The first version that it states must be
// the one that was in force before.
func TestRestartedHostNeverReportsOlderBundle(t *testing.T) {
	g := NewWithT(t)
	f := startFleetWith(t, withDisks(t, "b1"), "a1", "a2", "b1")
	f.rollOut("b1", 1, 0)
	for name := range f.hosts {
		g.Eventually(func() uint64 { return f.bundleInForce(name) }, eventuallyTimeout, pollInterval).Should(BeEquivalentTo(1), name)
	}
	for range 3 {
		f.drainHost["a2"]()
		f.startHost(f.hosts["a2"])
		var first *uint64
		g.Eventually(func() *uint64 { first = f.bundleOfRefusal("a2"); return first }, eventuallyTimeout, time.Millisecond).ShouldNot(BeNil())
		g.Expect(*first).To(BeEquivalentTo(1))
	}
}

// bundleOfRefusal returns the bundle version stated in a host's refusal of an
// empty submission, nil if the host does not listen yet or states none.
func (f *fleet) bundleOfRefusal(name string) *uint64 {
	response, err := http.Post("http://"+f.hosts[name].HTTPAddress+wire.PathJobs, "application/json", http.NoBody)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer job.Answer
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return answer.BundleVersion
}
