package scenario

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"wasabifield.example/wasabifield/internal/standin/history"
	"wasabifield.example/wasabifield/internal/standin/relay"
)

// Key is the name under which a script's World is kept.
const Key = "world"

type command = func(ts *testscript.TestScript, neg bool, args []string)

// Commands returns the scenario language:
//
//	entry NAME DOMAIN [SETTINGS]      declare an entry host
//	target NAME DOMAIN HOST[,HOST] [direct] [FLAG...]  declare a target
//	start NAME...                     start processes and wait until they serve
//	crash|freeze|thaw|terminate|lapse NAME...  signal processes
//	logged NAME TEXT                  wait until the process's log has TEXT
//	exits NAME CODE                   wait for a process's end
//	alive|gone HOST TARGET            wait until HOST lists TARGET so
//	cut|cutup|cutdown|heal|silence|refuse LINK...  change links
//	job LABEL [tasks=N] [run=D] [deadline=D] [FAULT]  declare a job
//	ticket LABEL HOST                 get the job a ticket issued by HOST
//	submit LABEL HOST [timeout=D] [&] submit or resubmit the job
//	persist LABEL HOST                submit until no resubmission would change the answer
//	cancel LABEL HOST                 withdraw the job
//	answer LABEL VERDICT [or VERDICT] check the answer to the latest submission
//	started LABEL N                   wait for N starts of the job's tasks
//	starts LABEL N                    check the number of starts so far
//	refused TARGET N                  wait until TARGET has refused N tasks
//	left TARGET                       wait until TARGET has recorded its leaving
//	replace VERSION HOST [tag=T] [VERDICT [or VERDICT]]  bring a bundle into force
//	changes FIRST LAST HOST           bring many versions into force, one after the other
//	atleast VERSION HOST...           wait until the hosts serve with VERSION or newer
//	notyet VERSION HOST...            check that the hosts do not serve with VERSION or newer
//	post HOST PATH FILE               print the status and body of the answer
//	get HOST PATH                     print the status and body of the answer
//	pause D                           let time pass
//	check                             check the invariants on all histories
func Commands() map[string]command {
	return map[string]command{
		"entry":     run(2, func(w *World, a []string) error { return w.Entry(a[0], a[1], a[2:]...) }),
		"target":    run(3, func(w *World, a []string) error { return w.Target(a[0], a[1], strings.Split(a[2], ","), a[3:]...) }),
		"start":     run(1, func(w *World, a []string) error { return w.Start(a...) }),
		"crash":     each((*World).Kill),
		"freeze":    signal(syscall.SIGSTOP),
		"thaw":      signal(syscall.SIGCONT),
		"terminate": signal(syscall.SIGTERM),
		"lapse":     signal(syscall.SIGUSR1),
		"logged":    run(2, func(w *World, a []string) error { return w.Logged(a[0], a[1]) }),
		"exits":     run(2, exits),
		"alive":     run(2, func(w *World, a []string) error { return w.Listed(a[0], a[1], true) }),
		"gone":      run(2, func(w *World, a []string) error { return w.Listed(a[0], a[1], false) }),
		"cut":       link(func(r *relay.Relay) { r.Cut(relay.Both) }),
		"cutup":     link(func(r *relay.Relay) { r.Cut(relay.Up) }),
		"cutdown":   link(func(r *relay.Relay) { r.Cut(relay.Down) }),
		"heal":      link(func(r *relay.Relay) { r.Heal() }),
		"silence":   link(func(r *relay.Relay) { r.Silence() }),
		"refuse":    link(func(r *relay.Relay) { r.Refuse() }),
		"job":       run(1, declareJob),
		"ticket":    run(2, func(w *World, a []string) error { return w.Ticket(a[0], a[1]) }),
		"submit":    run(2, submit),
		"persist":   run(2, func(w *World, a []string) error { return w.Persist(a[0], a[1]) }),
		"cancel":    run(2, func(w *World, a []string) error { return w.Cancel(a[0], a[1]) }),
		"answer":    run(2, answer),
		"started":   count((*World).Started),
		"starts":    count((*World).Starts),
		"refused":   count((*World).Refused),
		"left":      each((*World).Left),
		"replace":   run(2, replace),
		"changes":   run(3, changes),
		"atleast":   versions((*World).InForce),
		"notyet":    versions((*World).NotInForce),
		"post":      post,
		"get":       get,
		"pause":     run(1, pause),
		"check":     check,
	}
}

// run makes a command of f, which takes at least least arguments.
func run(least int, f func(w *World, args []string) error) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if len(args) < least {
			ts.Fatalf("takes at least %d arguments", least)
		}
		err := f(ts.Value(Key).(*World), args)
		switch {
		case neg && err == nil:
			ts.Fatalf("succeeded, which is wrong here")
		case !neg && err != nil:
			ts.Fatalf("%v", err)
		}
	}
}

// each makes a command that calls f for each argument.
func each(f func(w *World, name string) error) command {
	return run(1, func(w *World, args []string) error {
		for _, name := range args {
			if err := f(w, name); err != nil {
				return err
			}
		}
		return nil
	})
}

func signal(s syscall.Signal) command {
	return each(func(w *World, name string) error { return w.Signal(name, s) })
}

func link(f func(r *relay.Relay)) command {
	return each(func(w *World, name string) error {
		r, err := w.Link(name)
		if err == nil {
			f(r)
		}
		return err
	})
}

func count(f func(w *World, label string, n int) error) command {
	return run(2, func(w *World, args []string) error {
		n, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		return f(w, args[0], n)
	})
}

// versions makes a command that calls f with a version and each host.
func versions(f func(w *World, version uint64, host string) error) command {
	return run(2, func(w *World, args []string) error {
		version, err := strconv.ParseUint(args[0], 10, 64)
		for _, host := range args[1:] {
			err = errors.Join(err, f(w, version, host))
		}
		return err
	})
}

func replace(w *World, args []string) error {
	version, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	host, rest, tag := args[1], args[2:], "only"
	if len(rest) > 0 && strings.HasPrefix(rest[0], "tag=") {
		tag, rest = strings.TrimPrefix(rest[0], "tag="), rest[1:]
	}
	allowed := []string{"done"}
	if len(rest) > 0 {
		allowed = strings.Split(strings.Join(rest, " "), " or ")
	}
	verdict, err := w.Replace(version, host, tag)
	if err == nil && !slices.Contains(allowed, verdict) {
		err = fmt.Errorf("version %d at %s: %q, not %s", version, host, verdict, strings.Join(allowed, " or "))
	}
	return err
}

func changes(w *World, args []string) error {
	first, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	last, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	for version := first; version <= last; version++ {
		if err := replace(w, []string{strconv.Itoa(version), args[2]}); err != nil {
			return err
		}
	}
	return nil
}

func exits(w *World, args []string) error {
	code, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	return w.Exits(args[0], code)
}

func declareJob(w *World, args []string) error {
	config := JobConfig{Tasks: 1, Deadline: defaultDeadline}
	for _, option := range args[1:] {
		if err := config.set(option); err != nil {
			return err
		}
	}
	w.Job(args[0], config)
	return nil
}

// set reads one option of the job command.
func (c *JobConfig) set(option string) (err error) {
	name, value, _ := strings.Cut(option, "=")
	switch name {
	case "tasks":
		c.Tasks, err = strconv.Atoi(value)
	case "run":
		c.Run, err = time.ParseDuration(value)
	case "deadline":
		c.Deadline, err = time.ParseDuration(value)
	default:
		err = setFault(&c.Fault, name)
	}
	return err
}

func setFault(p *history.Payload, name string) error {
	faults := map[string]*bool{
		"fail":             &p.Fail,
		"hang":             &p.Hang,
		"cut":              &p.Cut,
		"wrong_id":         &p.WrongID,
		"wrong_refusal":    &p.WrongRefusal,
		"drop_after_start": &p.DropAfterStart,
		"refuse":           &p.Refuse,
	}
	fault, ok := faults[name]
	if !ok {
		return fmt.Errorf("%s: no such option or fault", name)
	}
	*fault = true
	return nil
}

func submit(w *World, args []string) error {
	timeout, background := waitLimit, false
	for _, option := range args[2:] {
		value, isTimeout := strings.CutPrefix(option, "timeout=")
		if !isTimeout {
			background = option == "&"
			continue
		}
		var err error
		if timeout, err = time.ParseDuration(value); err != nil {
			return err
		}
	}
	if err := w.Submit(args[0], args[1], timeout); err != nil || background {
		return err
	}
	_, err := w.last(args[0])
	return err
}

func answer(w *World, args []string) error {
	allowed := strings.Split(strings.Join(args[1:], " "), " or ")
	return w.Answer(args[0], allowed...)
}

func pause(_ *World, args []string) error {
	d, err := time.ParseDuration(args[0])
	time.Sleep(d)
	return err
}

func post(ts *testscript.TestScript, _ bool, args []string) {
	body := strings.NewReader(ts.ReadFile(args[2]))
	request(ts, http.MethodPost, args[0], args[1], body)
}

func get(ts *testscript.TestScript, _ bool, args []string) {
	request(ts, http.MethodGet, args[0], args[1], nil)
}

func request(ts *testscript.TestScript, method, host, path string, body io.Reader) {
	h, ok := ts.Value(Key).(*World).hosts[host]
	if !ok {
		ts.Fatalf("%s: no such host", host)
	}
	r, err := http.NewRequest(method, "http://"+h.settings.HTTPAddress+path, body)
	ts.Check(err)
	response, err := http.DefaultClient.Do(r)
	ts.Check(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	ts.Check(err)
	fmt.Fprintf(ts.Stdout(), "%d %s\n", response.StatusCode, text)
}

func check(ts *testscript.TestScript, _ bool, _ []string) {
	account, err := ts.Value(Key).(*World).Account()
	ts.Check(err)
	account.Print(ts.Stdout())
	if n := len(account.Violations); n > 0 {
		ts.Fatalf("%d faults, the first: %s", n, account.Violations[0])
	}
}
