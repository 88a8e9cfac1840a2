package host_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/host"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/standin/history"
	"wasabifield.example/wasabifield/internal/standin/launch"
	"wasabifield.example/wasabifield/internal/standin/target"
)

const (
	eventuallyTimeout = 20 * time.Second
	pollInterval      = 20 * time.Millisecond
)

// fleet is a set of entry hosts and targets that run in the test process.
type fleet struct {
	t         *testing.T
	hosts     map[string]settings.Settings
	drainHost map[string]func()
}

// startFleet starts the named hosts and waits until all see each other alive.
// The first letter of a name is the host's failure domain.
func startFleet(t *testing.T, names ...string) *fleet {
	t.Helper()
	return startFleetWith(t, func(string, *settings.Settings) {}, names...)
}

// startFleetWith is startFleet with a change of each host's settings before the
// start.
func startFleetWith(t *testing.T, change func(name string, s *settings.Settings), names ...string) *fleet {
	t.Helper()
	g := NewWithT(t)
	f := &fleet{t: t, hosts: map[string]settings.Settings{}, drainHost: map[string]func(){}}
	ports := launch.NewPortAllocator()
	t.Cleanup(func() { runtime.KeepAlive(ports) })
	for _, name := range names {
		s := settings.Default()
		s.Host, s.Domain, s.Region = name, name[:1], "r"
		s.Timing.BaseExchangeInterval = 50 * time.Millisecond
		s.Timing.DrainDelay = 0
		var err error
		s.HTTPAddress, err = ports.AllocateAddress()
		g.Expect(err).NotTo(HaveOccurred())
		s.PeerAddress, err = ports.AllocateAddress()
		g.Expect(err).NotTo(HaveOccurred())
		f.hosts[name] = s
	}
	for name, s := range f.hosts {
		for other, o := range f.hosts {
			if other != name {
				s.Peers = append(s.Peers, settings.Peer{Host: other, Domain: o.Domain, Region: "r", Address: o.PeerAddress})
			}
		}
		change(name, &s)
		f.hosts[name] = s
	}
	for _, s := range f.hosts {
		f.startHost(s)
	}
	for name := range f.hosts {
		g.Eventually(func() int { return f.countAliveHosts(name) }, eventuallyTimeout, pollInterval).Should(Equal(len(names) - 1))
	}
	return f
}

// startHost runs a host; drainHost[name] drains it and waits for its end.
func (f *fleet) startHost(s settings.Settings) {
	h, err := host.New(s, slog.New(slog.NewTextHandler(io.Discard, nil)))
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx, context.Background()) }()
	f.drainHost[s.Host] = func() {
		cancel()
		NewWithT(f.t).Eventually(ended, eventuallyTimeout, pollInterval).Should(Receive(BeNil()))
	}
	f.t.Cleanup(cancel)
}

// countAliveHosts returns the number of other hosts that the named host reports
// as alive.
func (f *fleet) countAliveHosts(name string) int {
	var list []wire.HostStatus
	f.getJSON(name, wire.PathHosts, &list)
	count := 0
	for _, h := range list {
		if h.State == "alive" {
			count++
		}
	}
	return count
}

func (f *fleet) getJSON(name, path string, document any) {
	response, err := http.Get("http://" + f.hosts[name].HTTPAddress + path)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(document)
}

// startTarget starts one target in a domain. It announces itself to the first
// of the named hosts; startTarget waits until each of them lists it.
func (f *fleet) startTarget(domain string, hosts ...string) {
	f.startTargetWithHistory(history.NewWriter(io.Discard), domain, hosts...)
}

// startTargetWithHistory is startTarget with a writer that records the requests
// to the target.
func (f *fleet) startTargetWithHistory(historyWriter *history.Writer, domain string, hosts ...string) {
	g := NewWithT(f.t)
	service, err := target.ParseServiceTime("fixed:1ms", 1)
	g.Expect(err).NotTo(HaveOccurred())
	t, err := target.NewTarget(target.TargetConfig{
		Name:        domain + "-t1",
		Incarnation: 1,
		Domain:      domain,
		Slots:       8,
		Connections: 64,
		Entries:     []string{f.hosts[hosts[0]].HTTPAddress},
		ServiceTime: service,
		History:     historyWriter,
	})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go func() { _ = t.Run(ctx) }()
	for _, name := range hosts {
		g.Eventually(func() int {
			var list []wire.TargetStatus
			f.getJSON(name, wire.PathTargets, &list)
			return len(list)
		}, eventuallyTimeout, pollInterval).Should(Equal(1))
	}
}

func (f *fleet) issueTicket(name string) string {
	response, err := http.Post("http://"+f.hosts[name].HTTPAddress+wire.PathTickets, "", nil)
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var grant wire.TicketGrant
	NewWithT(f.t).Expect(json.NewDecoder(response.Body).Decode(&grant)).To(Succeed())
	return grant.Ticket
}

func (f *fleet) submit(name, ticket string) job.Answer {
	return f.submitTasks(name, ticket, job.Task{ID: "t1"})
}

func (f *fleet) submitTasks(name, ticket string, tasks ...job.Task) job.Answer {
	body, _ := json.Marshal(job.Spec{Ticket: ticket, Team: "team", Tasks: tasks})
	response, err := http.Post("http://"+f.hosts[name].HTTPAddress+wire.PathJobs, "application/json", bytes.NewReader(body))
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	var answer job.Answer
	NewWithT(f.t).Expect(json.NewDecoder(response.Body).Decode(&answer)).To(Succeed())
	return answer
}

func (f *fleet) cancel(name, ticket string) int {
	address := "http://" + f.hosts[name].HTTPAddress + wire.PathJobs + "?ticket=" + url.QueryEscape(ticket)
	request, _ := http.NewRequest(http.MethodDelete, address, nil)
	response, err := http.DefaultClient.Do(request)
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	return response.StatusCode
}

func errorKind(a job.Answer) failure.Kind {
	if a.Error == nil {
		return ""
	}
	return failure.Kind(a.Error.Kind)
}

func TestJobRunsInAnotherDomainWhenOwnHasNoTargets(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, "a1", "b1")
	ticket := f.issueTicket("a1")
	refused := f.submit("a1", ticket)
	g.Expect(errorKind(refused)).To(Equal(failure.NoTargets))
	g.Expect(refused.Outcome).To(Equal(job.NotRun))
	f.startTarget("b", "b1")
	g.Eventually(func() job.Outcome { return f.submit("a1", ticket).Outcome }, eventuallyTimeout, pollInterval).Should(Equal(job.Complete))
}

func TestTicketsOfADrainedHostStayValidAtItsSuccessor(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, "a1", "a2", "b1")
	f.startTarget("a", "a1", "a2")
	used, unused, cancelled := f.issueTicket("a1"), f.issueTicket("a1"), f.issueTicket("a1")
	first := f.submit("b1", used)
	g.Expect(first.Outcome).To(Equal(job.Complete))
	f.drainHost["a1"]()
	for _, name := range []string{"a2", "b1"} {
		again := f.submit(name, used)
		g.Expect(again.Outcome).To(Equal(job.Complete))
		g.Expect(again.Outputs).To(Equal(first.Outputs))
	}
	g.Expect(f.submit("b1", unused).Outcome).To(Equal(job.Complete))
	g.Expect(f.cancel("b1", cancelled)).To(Equal(http.StatusNoContent))
	g.Expect(errorKind(f.submit("b1", cancelled))).To(Equal(failure.Cancelled))
}

func TestCancellationIsForwardedToTheIssuer(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, "a1", "b1")
	f.startTarget("a", "a1")
	ticket := f.issueTicket("a1")
	g.Expect(f.cancel("b1", ticket)).To(Equal(http.StatusNoContent))
	g.Expect(errorKind(f.submit("b1", ticket))).To(Equal(failure.Cancelled))
}

// TestCancelledTasksFreeTheirSlots fills all slots of a target with tasks that
// never end and cancels them; the next job must run.
func TestCancelledTasksFreeTheirSlots(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t, "a1")
	f.startTarget("a", "a1")
	var hanging []job.Task
	for _, id := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		hanging = append(hanging, job.Task{ID: id, Payload: json.RawMessage(`{"hang":true}`)})
	}
	ticket := f.issueTicket("a1")
	answers := make(chan job.Answer, 1)
	go func() { answers <- f.submitTasks("a1", ticket, hanging...) }()
	g.Eventually(func() int {
		var list []wire.TargetStatus
		f.getJSON("a1", wire.PathTargets, &list)
		return list[0].RunningTasks
	}, eventuallyTimeout, pollInterval).Should(Equal(8))
	g.Expect(f.cancel("a1", ticket)).To(Equal(http.StatusNoContent))
	g.Expect(errorKind(<-answers)).To(Equal(failure.CancelledRunning))
	g.Expect(f.submit("a1", f.issueTicket("a1")).Outcome).To(Equal(job.Complete))
}
