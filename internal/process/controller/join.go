package controller

import (
	"context"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/version/register"
)

// leaveRetryDelay is the time between two attempts of a stopping host to give its vote to
// a standby, in which the standbys report their disks.
const leaveRetryDelay = 50 * time.Millisecond

// survey collects the hosts' reports of what they hold. A host runs surveys while
// its disk is fresh.
type survey struct {
	ballot       register.Ballot // identifies the survey; zero before the first
	reports      []register.Report
	emptySurveys int // consecutive surveys that ended with bootstrapping as the next step
}

// joinOrConfirm takes the next step towards becoming a voter if this host has a
// disk that should vote and doesn't. Otherwise it starts a read that confirms
// the local copy. Except for the surveys of a fresh disk, it does nothing while an
// operation is in progress.
func (c *Controller) joinOrConfirm(ctx context.Context) {
	if c.isFresh() {
		c.planJoin(true)
		c.startSurvey()
		return
	}
	if c.current != nil {
		return
	}
	if c.shouldJoin() {
		c.startInternal(ctx, c.joinChange())
		return
	}
	c.startInternal(ctx, nil)
}

// shouldJoin reports whether this host's disk should become a voter according to
// the local copy. It returns false until the copy has been confirmed.
func (c *Controller) shouldJoin() bool {
	entry, confirmedAt := c.local.get()
	return c.config.Folder != nil && !confirmedAt.IsZero() && c.wantsVote(entry.Value)
}

// startInternal starts an operation on behalf of the controller, limited to one
// AttemptTimeout.
func (c *Controller) startInternal(ctx context.Context, change register.Change) {
	attemptCtx, cancel := context.WithTimeout(ctx, c.config.Timing.AttemptTimeout)
	context.AfterFunc(attemptCtx, cancel)
	c.startOperation(newOperation(attemptCtx, change))
}

// joinChange returns the change that adds this host's disk to the voters. It
// replaces an earlier disk of this host or a lost voter.
func (c *Controller) joinChange() register.Change {
	self := c.self
	c.joinPending = true
	c.log.Info("Adding this host's disk to the voters.", "identity", self.Identity)
	return func(v register.Value) (register.Value, error) {
		if !c.wantsVote(v) {
			return v, nil
		}
		return c.withoutLostVoter(v).WithMember(self), nil
	}
}

// wantsVote reports whether this host's disk should become a voter: because all
// disks vote, in place of its earlier disk, because there are too few voters, or
// in place of a lost one.
func (c *Controller) wantsVote(v register.Value) bool {
	if v.HasMember(c.self) || c.leaving.Load() {
		return false
	}
	return c.config.VoterCount == 0 || len(v.Members) < c.config.VoterCount || c.earlierDiskVotes(v) || c.lostVoter(v) != ""
}

// earlierDiskVotes reports whether an earlier disk of this host is a voter.
func (c *Controller) earlierDiskVotes(v register.Value) bool { return v.HasHost(c.self.Host) }

// lostVoter returns the host of the first lost voter, or "" if there is none.
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

// withoutLostVoter removes one lost voter from v, so that a host that is gone for
// good doesn't count in every later quorum. It returns v unchanged if there are
// too few voters anyway or if this disk replaces an earlier one of its host.
func (c *Controller) withoutLostVoter(v register.Value) register.Value {
	if c.earlierDiskVotes(v) || c.config.VoterCount > 0 && len(v.Members) < c.config.VoterCount {
		return v
	}
	lost := c.lostVoter(v)
	if lost == "" {
		return v
	}
	c.log.Warn("Removing a lost host from the voters.", "peer", lost)
	return v.WithoutHost(lost)
}

// Leave gives this host's vote to a standby before the host stops. It returns nil once
// the host has no vote. The number of voters does not shrink: with fewer, one full disk
// refuses all changes, and one lost disk blocks the register. Without a standby that takes
// the vote, the host keeps it until ctx ends; a standby replaces the host later if it
// stays away. The host does not become a voter again until it restarts. Errors are those
// of Change.
func (c *Controller) Leave(ctx context.Context) error {
	c.leaving.Store(true)
	for {
		entry, err := c.runOperation(ctx, c.withoutVote)
		if err != nil || !entry.Value.HasMember(c.self) {
			return err
		}
		select {
		case <-ctx.Done():
			return failure.Wrap(failure.NoQuorum, "controller", errNoStandby)
		case <-time.After(leaveRetryDelay):
		}
	}
}

// withoutVote returns v with a standby in place of this host. It returns v unchanged if
// this host is no voter or no standby is known.
func (c *Controller) withoutVote(v register.Value) (register.Value, error) {
	if !v.HasMember(c.self) {
		return v, nil
	}
	if c.config.VoterCount > 0 && len(v.Members) > c.config.VoterCount {
		return v.WithoutHost(c.self.Host), nil
	}
	if standby, ok := c.nextStandby(v); ok {
		return v.WithoutHost(c.self.Host).WithMember(standby), nil
	}
	return v, nil
}

// nextStandby returns the standby after the one that it returned before, as the vote of
// one whose disk is full is waited for in vain.
func (c *Controller) nextStandby(v register.Value) (register.Member, bool) {
	var standbys []register.Member
	for _, l := range c.links {
		m, ok := c.diskByHost[l.Host]
		if ok && !v.HasHost(l.Host) && (c.config.Lost == nil || !c.config.Lost(l.Host)) {
			standbys = append(standbys, m)
		}
	}
	if len(standbys) == 0 {
		return register.Member{}, false
	}
	c.standbysAsked++
	return standbys[c.standbysAsked%len(standbys)], true
}

// recordDisk remembers the identity of a disk that may vote.
func (c *Controller) recordDisk(r register.Report) {
	if r.MayVote {
		c.diskByHost[r.From.Host] = r.From
	}
}

// initialVoters returns the hosts whose disks bootstrap the register.
func (c *Controller) initialVoters() []string {
	if c.config.InitialVoters != nil {
		return c.config.InitialVoters
	}
	return c.diskHosts()
}

// initialVoterReports returns the survey's reports with identity 0 for hosts that
// are not initial voters, so that their disks are not counted as such.
func (c *Controller) initialVoterReports() []register.Report {
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

// isFresh reports whether this host has a disk that may not vote yet.
func (c *Controller) isFresh() bool { return c.config.Folder != nil && !c.state.MayVote }

// startSurvey starts a new survey and asks all other hosts for their reports.
func (c *Controller) startSurvey() {
	c.survey.ballot = c.survey.ballot.Next(c.state.Identity)
	c.survey.reports = nil
	for _, l := range c.links {
		c.send(l.Host, register.Inspect{Ballot: c.survey.ballot})
	}
}

func (c *Controller) handleSurveyReport(r register.Report) {
	if !c.isFresh() || r.Ballot != c.survey.ballot {
		return
	}
	c.survey.reports = append(c.survey.reports, r)
	c.planJoin(false)
}

// planJoin takes the next step of a host with a fresh disk towards voting. The
// step bootstraps the register once all hosts have reported in one survey,
// including those without a disk, which may hold a value in memory. As one of
// those may be down, bootstrapSurveys consecutive surveys in which no host
// reported a value also suffice. surveyEnded states that the survey is about to be
// replaced by the next one.
func (c *Controller) planJoin(surveyEnded bool) {
	if c.survey.ballot == (register.Ballot{}) {
		return
	}
	step, entry := register.PlanJoin(c.self, c.initialVoters(), c.initialVoterReports())
	if step == register.Bootstrap && c.config.Bootstrapped {
		step = register.Wait
	}
	switch step {
	case register.Bootstrap:
		if surveyEnded {
			c.survey.emptySurveys++
		}
		if len(c.survey.reports) == len(c.links) || c.survey.emptySurveys >= bootstrapSurveys {
			c.log.Info("Bootstrapping the register with the other disks.", "identity", c.state.Identity)
			c.learnInitialEntry(entry)
		}
	case register.Adopt:
		c.learnInitialEntry(entry)
	case register.Join:
		c.survey.emptySurveys = 0
		if c.current == nil {
			c.startInternal(context.Background(), nil)
		}
	case register.Wait:
		if surveyEnded {
			c.survey.emptySurveys = 0
		}
	}
}

// learnInitialEntry learns the entry that bootstraps the register. apply logs a
// failure, and the next survey tries again.
func (c *Controller) learnInitialEntry(e register.Entry) {
	_, _ = c.apply(register.Learn{Entry: e})
}
