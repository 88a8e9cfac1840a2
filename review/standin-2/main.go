// Command standin-2 plays the scripts of the second review: it starts the project's programs with
// the commands of the deploy file, and clients, minions and an operator of its own.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	r, err := newRecord(*record)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	os.Exit(play(flag.Arg(0), r))
}

func play(name string, r *Record) int {
	zones := []string{"za", "zb", "zc"}
	l, err := newLab(r, zones, map[string]int{"za": 1, "zb": 1, "zc": 1}, map[string]int{"za": 2, "zb": 1, "zc": 1})
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer l.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { // a run that is cut short ends its processes, too
		<-signals
		l.close()
		os.Exit(2)
	}()
	c := newChecker(r)
	switch name {
	case "first-start":
		err = firstStart(l, c)
	case "shrunk":
		err = shrunk(l, c)
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
	result := fmt.Sprintf("%s: %d jobs, %d starts, %d ended done, rules broken %d times", name, len(c.jobs), c.starts, c.dones, len(c.breaks))
	r.add("%s", result)
	fmt.Println(result)
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
