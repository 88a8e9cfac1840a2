// Command standin-3 plays the scripts of the third review: it starts the project's program as
// separate processes, with stand-ins for minions, clients, the operator and the platform.
package main

import (
	"flag"
	"fmt"
	"os"
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
	beat := flag.Duration("beat", usualBeat, "time between heartbeats of a minion")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	plays := map[string]func(r *rig, trouble bool) int{
		"twice": playTwice, "hang": playHang, "memory": playMemory, "frozen": playFrozen, "crowd": playCrowd,
	}
	f, ok := plays[*play]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown play")
		os.Exit(notRun)
	}
	r, err := newRig(*dir, *daemon, *edges, *minions, *beat)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
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
