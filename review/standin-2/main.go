// Command standin-2 plays the cases of the second review: it starts the project's programs with
// the commands of the deploy file, and clients, minions and an operator of its own.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

func main() {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	seed := flag.Uint64("seed", 1, "of the search")
	length := flag.Duration("for", 20*time.Second, "length of the search")
	rate := flag.Float64("rate", 60, "jobs a second")
	per := flag.Int("minions", 8, "a zone")
	late := flag.Float64("late", 0.3, "share of orders carried out late")
	guards := flag.Bool("guards", true, "the minions check their room")
	relays := flag.Bool("relays", false, "cut links, too")
	flag.BoolVar(&allLate, "alllate", false, "orders to all minions are late")
	flag.Float64Var(&long, "long", 0, "share of long jobs")
	flag.BoolVar(&planned, "planned", false, "only planned work")
	flag.Parse()
	r, err := newRecord(*record)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	os.Exit(play(flag.Arg(0), r, *seed, *length, *rate, *per, *late, *guards, *relays))
}

func play(name string, r *Record, seed uint64, length time.Duration, rate float64, per int, late float64, guards, relays bool) int {
	zones := []string{"za", "zb", "zc"}
	l, err := newLab(r, zones, map[string]int{"za": 1, "zb": 1, "zc": 1}, map[string]int{"za": 2, "zb": 1, "zc": 1})
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer l.close()
	l.admits = guards
	if relays {
		if err := l.relays(); err != nil {
			fmt.Println(err)
			return 2
		}
	}
	c := newChecker(r)
	switch name {
	case "chaos":
		err = chaos(l, c, seed, length, rate, per, late)
	case "first-start":
		err = firstStart(l, c)
	case "stopped":
		err = stopped(l, c)
	case "cancelled":
		err = cancelled(l, c)
	default:
		err = fmt.Errorf("no case %q", name)
	}
	if err != nil {
		r.add("could not run: %v", err)
		fmt.Println(err)
		return 2
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	states := map[string]int{}
	for _, j := range c.jobs {
		states[j.state]++
	}
	fmt.Println(name, "seed", seed, "jobs", len(c.jobs), states, "starts", c.starts, "done", c.dones, "broken", len(c.breaks), "odd", c.odd)
	for i, b := range c.breaks {
		if i < 12 {
			fmt.Println("  ", b)
		}
	}
	if len(c.breaks) > 0 {
		return 1
	}
	return 0
}
