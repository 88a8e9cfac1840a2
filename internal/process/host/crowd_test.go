package host_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/standin/crowd"
	"wasabifield.example/wasabifield/internal/standin/launch"
)

// crowdMemoryBytes is what a host may use (CONTRIBUTING.md).
const (
	crowdMemoryBytes = 256 << 20
	ownDescriptors   = 100 // of a host, beside those of its clients
	crowdHTTPAddress = "127.91.1.1:8100"
)

// startCrowdHost starts a host as a process with one target, and watches the process.
func startCrowdHost(t *testing.T, change func(*settings.Settings)) (*fleet, *launch.Process, *crowd.Watch) {
	g := NewWithT(t)
	folder := t.TempDir()
	program := filepath.Join(folder, "wasabifieldd")
	out, err := exec.Command("go", "build", "-o", program, "../../../cmd/wasabifieldd").CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	s := settings.Default()
	s.Host, s.Domain, s.Region, s.HTTPAddress, s.PeerAddress = "a1", "a", "r", crowdHTTPAddress, "127.91.1.1:8101"
	s.Log.Level = "warn"
	change(&s)
	file, err := launch.WriteSettings(folder, s)
	g.Expect(err).NotTo(HaveOccurred())
	log, err := os.Create(filepath.Join(folder, "log"))
	g.Expect(err).NotTo(HaveOccurred())
	process, err := launch.Start("a1", log, program, "--config", file)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		process.Kill()
		_ = log.Close()
	})
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	g.Expect(launch.WaitUntilReady(ctx, crowdHTTPAddress)).To(Succeed())
	f := &fleet{t: t, hosts: map[string]settings.Settings{"a1": s}}
	f.startTarget("a", "a1")
	return f, process, crowd.NewWatch(process.PID(), netip.MustParseAddr("127.91.1.1"))
}

// completes reports whether a job on a connection of its own is complete.
func (f *fleet) completes(name string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: eventuallyTimeout}
	post := func(path string, body []byte, answer any) bool {
		response, err := client.Post("http://"+f.hosts[name].HTTPAddress+path, "application/json", bytes.NewReader(body))
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return json.NewDecoder(response.Body).Decode(answer) == nil
	}
	var grant wire.TicketGrant
	if !post(wire.PathTickets, nil, &grant) {
		return false
	}
	body, _ := json.Marshal(job.Spec{Ticket: grant.Ticket, Team: "team", Tasks: []job.Task{{ID: "t1"}}})
	var answer job.Answer
	return post(wire.PathJobs, body, &answer) && answer.Outcome == job.Complete
}

func TestCrowdAtAnEntryHost(t *testing.T) {
	largest := int(settings.Default().Limits.MaxBodyBytes)
	post := func(path string) string { return crowd.Head("POST", path, "x") }
	padded := bytes.Repeat([]byte(" "), largest)
	manyTasks := `{"ticket":"t","team":"t","tasks":[{}` + strings.Repeat(",{}", largest/3-20) + `]}`
	for _, c := range []struct {
		name        string
		size        int
		connections int // client_connections; 0 for the default
		client      crowd.Client
	}{
		{"large_bodies_stop_short", 100, 0, crowd.Unfinished(post(wire.PathJobs), padded)},
		{"chunks_stop_short", 100, 0, crowd.UnfinishedChunks(post(wire.PathJobs), padded, 1<<10)},
		{"many_small_values", 8, 0, crowd.Whole(post(wire.PathJobs), []byte(manyTasks))},
		{"reports_stop_short", 100, 0, crowd.Unfinished(post(wire.PathTargets), padded)},
		{"silent_connections", 1500, 500, crowd.Silent()},
		{"headers_never_end", 1500, 0, crowd.Headers(post(wire.PathJobs), 3000)},
		{"unread_answers", 1500, 0, crowd.Unread(crowd.Head("GET", wire.PathReady, "x"), 20_000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			f, process, watch := startCrowdHost(t, func(s *settings.Settings) {
				if c.connections > 0 {
					s.Limits.ClientConnections = c.connections
				}
			})
			gathered := crowd.Gather(crowdHTTPAddress, c.size, c.client)
			defer gathered.Close()
			g.Eventually(func() bool { return f.completes("a1") }, 3*eventuallyTimeout, pollInterval).Should(BeTrue(), "an ordinary job")
			usage, err := watch.Stop()
			g.Expect(err).NotTo(HaveOccurred())
			t.Logf("at most %d bytes of memory and %d descriptors", usage.MemoryBytes, usage.Descriptors)
			g.Expect(process.HasExited()).To(BeFalse())
			g.Expect(usage.MemoryBytes).To(BeNumerically("<=", crowdMemoryBytes), "memory")
			g.Expect(usage.Descriptors).To(BeNumerically("<=", f.hosts["a1"].Limits.ClientConnections+ownDescriptors), "descriptors")
			runtime.KeepAlive(gathered)
		})
	}
}
