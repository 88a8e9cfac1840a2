// Command standin-3 plays the scripts of the third review: it starts the project's program as
// separate processes, with stand-ins for minions, clients, the operator and the platform.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	play := flag.String("play", "", "what to play")
	dir := flag.String("dir", ".", "folder for record.txt")
	daemon := flag.String("daemon", "target/wasabifieldd", "the program")
	minions := flag.Int("minions", 8, "minions in each zone")
	edges := flag.Int("edges", 1, "edge machines in each zone")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	plays := map[string]func(r *rig, trouble bool) int{
		"twice": playTwice, "hang": playHang, "memory": playMemory,
	}
	f, ok := plays[*play]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown play")
		os.Exit(notRun)
	}
	r, err := newRig(*dir, *daemon, *edges, *minions)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		if r != nil {
			r.close()
		}
		os.Exit(notRun)
	}
	go endEarly(r)
	code := notRun
	if err := r.begin(); err != nil {
		r.record("rig", "begin", err.Error())
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = f(r, *trouble)
	}
	summary := r.summary()
	r.record("rig", "result", fmt.Sprintf("%d, %s", code, summary))
	fmt.Println("exit", code, summary)
	r.close()
	os.Exit(code)
}

// longest is how long a play may take; all processes have ended by then.
const longest = 117 * time.Second

// endEarly ends a play that takes too long or is told to end.
func endEarly(r *rig) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		r.record("rig", "ended", s.String())
	case <-time.After(longest):
		r.record("rig", "ended", "it took too long")
	}
	r.close()
	os.Exit(notRun)
}
