package scenario

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

// undo ends a failure at a later step.
type undo struct {
	step int
	name string // process or link that the failure is on
	end  func() error
}

// breakThings brings about one failure a step and ends each within three.
func (c *combined) breakThings() error {
	for step := range c.config.Steps {
		if err := c.endDue(step); err != nil {
			return err
		}
		if err := c.breakOne(step); err != nil {
			return err
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(c.config.Pause))))
	}
	return nil
}

func (c *combined) endDue(step int) error {
	var kept []undo
	for _, u := range c.undo {
		if u.step > step {
			kept = append(kept, u)
			continue
		}
		if err := u.end(); err != nil {
			return fmt.Errorf("step %d, end of the failure of %s: %w", step, u.name, err)
		}
	}
	c.undo = kept
	return nil
}

// busy reports whether a failure of name has not ended.
func (c *combined) busy(name string) bool {
	for _, u := range c.undo {
		if u.name == name {
			return true
		}
	}
	return false
}

// breakOne draws a failure. One that meets a process or link which has failed
// already is left out.
func (c *combined) breakOne(step int) error {
	kinds := []func(step int) error{
		func(s int) error { return c.crash(s, c.pick(combinedHostSeq)) },
		func(s int) error { return c.crash(s, c.pick(combinedTargets)) },
		func(s int) error { return c.freeze(s, c.pick(combinedHostSeq)) },
		func(s int) error { return c.freeze(s, c.pick(combinedTargets)) },
		func(s int) error { return c.leave(s, c.pick(combinedHostSeq)) },
		func(s int) error { return c.leave(s, c.pick(combinedTargets)) },
		func(s int) error { return c.lapse(s, c.pick(combinedTargets)) },
		func(s int) error { return c.cutDomains(s) },
		func(s int) error { return c.cutLink(s, c.pick(combinedTargets)) },
		func(s int) error { return c.silence(s, c.pickLink()) },
	}
	return kinds[c.random.IntN(len(kinds))](step)
}

func (c *combined) pick(names []string) string { return names[c.random.IntN(len(names))] }

// pickLink draws a link between hosts, to a target, or from callers.
func (c *combined) pickLink() string {
	from, to := c.pick(combinedHostSeq), c.pick(combinedHostSeq)
	links := []string{"caller-" + from, "targets-" + from, c.pick(combinedTargets)}
	if from != to {
		links = append(links, from+"-"+to)
	}
	return c.pick(links)
}

// endLater ends a failure one to three steps on.
func (c *combined) endLater(step int, name string, end func() error) {
	c.undo = append(c.undo, undo{step + 1 + c.random.IntN(3), name, end})
}

func (c *combined) crash(step int, name string) error {
	if c.busy(name) {
		return nil
	}
	wipe := c.mayWipe(name) && c.random.IntN(2) == 0
	c.log("step %d: crash %s, disk lost: %t", step, name, wipe)
	c.endLater(step, name, func() error { return c.world.launch(name) })
	if err := c.world.Kill(name); err != nil || !wipe {
		return err
	}
	c.wiped[name]++
	return c.world.loseDisk(name)
}

// mayWipe reports whether a host's disk may be lost: the others are well, and
// every disk that was lost has been repaired.
func (c *combined) mayWipe(name string) bool {
	if !slices.Contains(combinedDisks, name) || c.busy("domains") {
		return false
	}
	for _, host := range combinedDisks {
		if host != name && c.busy(host) || c.world.repairs(host) < c.wiped[host] {
			return false
		}
	}
	return true
}

func (c *combined) freeze(step int, name string) error {
	if c.busy(name) {
		return nil
	}
	c.log("step %d: freeze %s", step, name)
	c.endLater(step, name, func() error { return c.world.Signal(name, syscall.SIGCONT) })
	return c.world.Signal(name, syscall.SIGSTOP)
}

// leave asks for a graceful shutdown and starts the process again later.
func (c *combined) leave(step int, name string) error {
	if c.busy(name) {
		return nil
	}
	c.log("step %d: terminate %s", step, name)
	c.endLater(step, name, func() error {
		if err := c.world.Exits(name, 0); err != nil {
			return err
		}
		return c.world.launch(name)
	})
	return c.world.Signal(name, syscall.SIGTERM)
}

func (c *combined) lapse(step int, name string) error {
	if c.busy(name) {
		return nil
	}
	c.log("step %d: lapse %s", step, name)
	c.endLater(step, name, func() error {
		if err := c.world.Kill(name); err != nil {
			return err
		}
		return c.world.launch(name)
	})
	return c.world.Signal(name, syscall.SIGUSR1)
}

// cutDomains cuts all links between the two failure domains.
func (c *combined) cutDomains(step int) error {
	if c.busy("domains") {
		return nil
	}
	c.log("step %d: cut the domains", step)
	var links []string
	for _, a := range []string{"a1", "a2"} {
		for _, b := range []string{"b1", "b2"} {
			links = append(links, a+"-"+b, b+"-"+a)
		}
	}
	c.endLater(step, "domains", func() error {
		for _, name := range links {
			c.world.links[name].Heal()
		}
		return nil
	})
	for _, name := range links {
		c.world.links[name].Cut("both")
	}
	return nil
}

func (c *combined) cutLink(step int, name string) error {
	if c.busy("link " + name) {
		return nil
	}
	c.log("step %d: cut the link to %s", step, name)
	c.endLater(step, "link "+name, func() error {
		c.world.links[name].Heal()
		return nil
	})
	c.world.links[name].Cut("both")
	return nil
}

func (c *combined) silence(step int, name string) error {
	n := c.world.links[name].Silence()
	c.log("step %d: silence %d connections of %s", step, n, name)
	return nil
}
