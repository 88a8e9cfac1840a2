package scheduler

// A job that was dropped may come again while its former runs are being stopped, each of
// which may be in progress until its target confirms the stop or its lease expires. The
// tasks wait for that, and are then started under the next run numbers.

// ofTask returns the run without its number.
func (r Run) ofTask() Run {
	r.Number = 0
	return r
}

// hasFormerRuns reports whether a former run of a task of the job is being stopped here.
func (c *Core) hasFormerRuns(s *jobState) bool {
	if len(c.formerRuns)+len(c.unknownRuns) == 0 {
		return false
	}
	for _, t := range s.tasks {
		if len(c.unknownRunsOf(s, t)) > 0 || c.formerRuns[Run{Job: s.ID, Step: t.step, Index: t.index}] != nil {
			return true
		}
	}
	return false
}

// awaitFormerRuns makes the tasks of a new job wait for their former runs.
func (c *Core) awaitFormerRuns(s *jobState) {
	if !c.hasFormerRuns(s) {
		return
	}
	for _, t := range s.tasks {
		c.awaitUnknownRuns(s, t)
		id := Run{Job: s.ID, Step: t.step, Index: t.index}
		r := c.formerRuns[id]
		if r == nil {
			continue
		}
		delete(c.formerRuns, id)
		r.job = s
		t.run, t.lastRunNumber = r, max(t.lastRunNumber, r.id.Number)
		s.pendingTasks--
		c.emit(LogEntry{Message: "A task waits for its former run.", Job: s.ID, Target: r.targetID, Reason: "the job was sent again while the run is being stopped"})
	}
}
