package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"wasabifield.example/wasabifield/internal/standin/caller"
	"wasabifield.example/wasabifield/internal/standin/history"
)

// call submits one job after the other, in bursts with pauses.
func (c *combined) call(ctx context.Context, i int) error {
	random := rand.New(rand.NewPCG(c.config.Seed, uint64(100+i)))
	one := caller.NewCaller(caller.CallerConfig{
		Team: fmt.Sprintf("team-%d", i%3), Deadline: 3 * time.Second, History: c.world.history,
		Entries: c.entries(), FirstEntry: i, AnswerTimeout: 2 * time.Second, RetryTimeout: 20 * time.Second,
	})
	for n := 0; ctx.Err() == nil; n++ {
		label := fmt.Sprintf("c%d-%d", i, n)
		tasks := 1 + random.IntN(12)
		one.Submit(context.Background(), label, jobTasks(label, tasks, drawFault(random), runTime(random)))
		if random.IntN(8) == 0 {
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		}
	}
	return nil
}

// drawFault scripts a fault of a task for one job in ten.
func drawFault(random *rand.Rand) history.Payload {
	faults := []history.Payload{{Cut: true}, {WrongID: true}, {WrongRefusal: true}, {DropAfterStart: true}, {Fail: true}}
	if random.IntN(10) != 0 {
		return history.Payload{}
	}
	return faults[random.IntN(len(faults))]
}

func runTime(random *rand.Rand) time.Duration {
	return time.Duration(5+random.IntN(60)) * time.Millisecond
}

// cancelWaves submits bursts of jobs and withdraws them soon after.
func (c *combined) cancelWaves(ctx context.Context) error {
	random := rand.New(rand.NewPCG(c.config.Seed, 4))
	for n := 0; ctx.Err() == nil; n++ {
		var wave errgroup.Group
		for i := range 10 {
			label := fmt.Sprintf("w%d-%d", n, i)
			entry, other := c.entry(random), c.entry(random)
			tasks := jobTasks(label, 8, history.Payload{}, runTime(random))
			wait := time.Duration(random.IntN(60)) * time.Millisecond
			wave.Go(func() error { c.withdraw(label, entry, other, tasks, wait); return nil })
		}
		_ = wave.Wait()
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
	return nil
}

const withdrawTimeout = 5 * time.Second

// withdraw submits a job at entry and cancels it at other after wait.
func (c *combined) withdraw(label, entry, other string, tasks []task, wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	ticket, err := c.world.sender.Ticket(ctx, entry)
	if err != nil {
		return
	}
	var both errgroup.Group
	both.Go(func() error {
		submission := caller.Submission{Job: label, Attempt: 1, Ticket: ticket, Deadline: withdrawTimeout, Tasks: tasks}
		_, err := c.world.sender.Submit(ctx, entry, submission)
		return err
	})
	time.Sleep(wait)
	_ = c.world.sender.Cancel(ctx, other, ticket)
	_ = both.Wait()
}

// changeBundles brings one bundle after the other into force, each through a
// host drawn again until one states that it is done.
func (c *combined) changeBundles(ctx context.Context) error {
	random := rand.New(rand.NewPCG(c.config.Seed, 5))
	for ctx.Err() == nil {
		host := combinedHostSeq[random.IntN(len(combinedHostSeq))]
		verdict, err := c.world.Replace(c.last+1, host, "only")
		if err != nil {
			return err
		}
		if verdict == "done" {
			c.last++
		}
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
	return nil
}

func (c *combined) entries() []string {
	var list []string
	for _, name := range combinedHostSeq {
		list = append(list, c.world.links["caller-"+name].Address())
	}
	return list
}

func (c *combined) entry(random *rand.Rand) string {
	return c.entries()[random.IntN(len(combinedHostSeq))]
}
