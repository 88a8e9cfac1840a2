package controller

import (
	"context"
	"slices"

	"wasabifield.example/wasabifield/internal/version/register"
)

// survey gathers what the hosts hold while this host's disk is fresh.
type survey struct {
	ballot  register.Ballot // names the survey; zero if there is none
	reports []register.Report
	agreed  int // surveys in a row that ended in favour of founding
}

// onConfirm makes the host a voter if it has a disk and is none; otherwise it
// confirms the local copy by a read. It leaves operations of callers alone.
func (c *Controller) onConfirm(ctx context.Context) {
	if c.isFresh() {
		c.plan(true)
		c.startSurvey()
		return
	}
	if c.current != nil {
		return
	}
	if c.mayJoin() {
		c.startOwn(ctx, c.joinVoters())
		return
	}
	c.startOwn(ctx, nil)
}

// mayJoin reports whether this host's disk should become a voter, as far as the
// confirmed copy tells.
func (c *Controller) mayJoin() bool {
	entry, confirmed := c.copy.get()
	return c.config.Folder != nil && !confirmed.IsZero() && c.wantsVote(entry.Value)
}

// startOwn begins an operation of the controller itself.
func (c *Controller) startOwn(ctx context.Context, change register.Change) {
	limited, cancel := context.WithTimeout(ctx, c.config.Timing.AttemptTimeout)
	context.AfterFunc(limited, cancel)
	c.start(newOperation(limited, change))
}

// joinVoters names this host's disk as a voter, in place of an earlier disk of
// the host.
func (c *Controller) joinVoters() register.Change {
	self := c.self
	c.joining = true
	c.log.Info("Joining the voters.", "identity", self.Identity)
	return func(v register.Value) (register.Value, error) {
		if !c.wantsVote(v) {
			return v, nil
		}
		return c.makeRoom(v).WithMember(self), nil
	}
}

// wantsVote reports whether this host's disk should become a voter: in place of
// its earlier disk, where a voter is missing, or in place of a lost one.
func (c *Controller) wantsVote(v register.Value) bool {
	if v.HasMember(c.self) || c.leaving.Load() {
		return false
	}
	return c.config.VoterCount == 0 || len(v.Members) < c.config.VoterCount || c.hadVote(v) || c.lostVoter(v) != ""
}

// hadVote reports whether an earlier disk of this host is a voter.
func (c *Controller) hadVote(v register.Value) bool {
	return slices.ContainsFunc(v.Members, func(m register.Member) bool { return m.Host == c.self.Host })
}

// lostVoter returns a voter whose host is lost, or nothing.
func (c *Controller) lostVoter(v register.Value) string {
	if c.config.Lost == nil {
		return ""
	}
	for _, m := range v.Members {
		if c.config.Lost(m.Host) {
			return m.Host
		}
	}
	return ""
}

// makeRoom drops a lost voter unless one is missing already, or this disk
// replaces an earlier one of its host. Otherwise hosts that are gone for good
// would count in every later quorum.
func (c *Controller) makeRoom(v register.Value) register.Value {
	if c.hadVote(v) || c.config.VoterCount > 0 && len(v.Members) < c.config.VoterCount {
		return v
	}
	lost := c.lostVoter(v)
	if lost == "" {
		return v
	}
	c.log.Warn("A lost host gives up its vote.", "peer", lost)
	return v.WithoutHost(lost)
}

// Leave gives up this host's vote before it stops, where the voters stay enough
// without it: a spare takes it. The host does not become a voter again.
func (c *Controller) Leave(ctx context.Context) error {
	c.leaving.Store(true)
	_, err := c.operate(ctx, func(v register.Value) (register.Value, error) {
		if !v.HasMember(c.self) || len(v.Members) < 2 {
			return v, nil
		}
		return v.WithoutHost(c.self.Host), nil
	})
	return err
}

// founders returns the hosts whose disks found the register.
func (c *Controller) founders() []string {
	if c.config.InitialVoters != nil {
		return c.config.InitialVoters
	}
	return c.disks()
}

// founderReports leaves out the identities of disks that do not found.
func (c *Controller) founderReports() []register.Report {
	if c.config.InitialVoters == nil {
		return c.survey.reports
	}
	reports := slices.Clone(c.survey.reports)
	for i := range reports {
		if !slices.Contains(c.config.InitialVoters, reports[i].From.Host) {
			reports[i].From.Identity = 0
		}
	}
	return reports
}

// isFresh reports whether the host has a disk that may not vote yet.
func (c *Controller) isFresh() bool { return c.config.Folder != nil && !c.state.MayVote }

// startSurvey asks all hosts what they hold.
func (c *Controller) startSurvey() {
	c.survey.ballot = c.survey.ballot.Next(c.state.Identity)
	c.survey.reports = nil
	for _, l := range c.links {
		c.send(l.Host, register.Inspect{Ballot: c.survey.ballot})
	}
}

func (c *Controller) onSurvey(r register.Report) {
	if !c.isFresh() || r.Ballot != c.survey.ballot {
		return
	}
	c.survey.reports = append(c.survey.reports, r)
	c.plan(false)
}

// plan takes the next step of a host with a fresh disk. It founds the register
// once all hosts have reported in one survey, those without a disk too, as they
// may remember a value; or, as one of them may be down, after several surveys
// in which none of them reported a value.
func (c *Controller) plan(atEnd bool) {
	if c.survey.ballot == (register.Ballot{}) {
		return
	}
	step, entry := register.PlanJoin(c.self, c.founders(), c.founderReports())
	if step == register.Bootstrap && c.config.Bootstrapped {
		step = register.Wait
	}
	switch step {
	case register.Bootstrap:
		if atEnd {
			c.survey.agreed++
		}
		if len(c.survey.reports) == len(c.links) || c.survey.agreed >= foundAfter {
			c.log.Info("Founding the register with the other disks.", "identity", c.state.Identity)
			c.learn(entry)
		}
	case register.Adopt:
		c.learn(entry)
	case register.Join:
		c.survey.agreed = 0
		if c.current == nil {
			c.startOwn(context.Background(), nil)
		}
	case register.Wait:
		if atEnd {
			c.survey.agreed = 0
		}
	}
}

// learn takes in a founding entry. A failure is logged, and the next survey
// tries again.
func (c *Controller) learn(e register.Entry) {
	_, _ = c.apply(register.Learn{Entry: e})
}
