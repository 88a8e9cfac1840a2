package scenario

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/request/failure"
	"wasabifield.example/wasabifield/internal/request/report"
	"wasabifield.example/wasabifield/internal/version/control"
)

// toolProgram is the operators' tool, found on the path.
const toolProgram = "wasabifield"

// ControlCommands returns the scenario language with what operators do:
//
//	disks HOST...                     give declared hosts a disk
//	losedisk HOST...                  empty the disks of hosts that do not run
//	operators N NAME...               make keys NAME.key; N approvals are needed
//	launch HOST...                    start hosts without waiting
//	ready HOST...                     wait until hosts accept work
//	tool HOST[,HOST] ARG...           run the operators' tool against hosts
//	inforce VERSION HOST...           wait until hosts serve with VERSION
//	grows HOST...                     check that the versions that hosts served with only grew
//	race N VERSION BASE KEY HOST,...  send N proposals of VERSION at once, each twice
func ControlCommands() map[string]command {
	commands := map[string]command{
		"disks":     each((*World).giveDisk),
		"losedisk":  each((*World).loseDisk),
		"operators": operators,
		"launch":    each((*World).launch),
		"ready":     each((*World).waitReady),
		"tool":      tool,
		"inforce":   run(2, inForce),
		"grows":     each((*World).versionsGrow),
		"race":      race,
	}
	maps.Copy(commands, Commands())
	return commands
}

func (w *World) host(name string) (*hostProcess, error) {
	if h, ok := w.hosts[name]; ok {
		return h, nil
	}
	return nil, fmt.Errorf("%s: no such host", name)
}

func (w *World) giveDisk(name string) error {
	h, err := w.host(name)
	if err != nil {
		return err
	}
	h.settings.DataFolder = filepath.Join(w.config.Folder, "disk-"+name)
	return os.MkdirAll(h.settings.DataFolder, 0o700)
}

func (w *World) loseDisk(name string) error {
	h, err := w.host(name)
	if err != nil {
		return err
	}
	if err := os.RemoveAll(h.settings.DataFolder); err != nil {
		return err
	}
	return os.MkdirAll(h.settings.DataFolder, 0o700)
}

// operators makes keys by the tool and names them in every host's settings.
func operators(ts *testscript.TestScript, _ bool, args []string) {
	approvals, err := strconv.Atoi(args[0])
	ts.Check(err)
	var named []settings.Operator
	for _, name := range args[1:] {
		ts.Check(ts.Exec(toolProgram, "keygen", name, "--output", "json"))
		var key struct {
			PublicKey string `json:"public_key"`
		}
		ts.Check(json.Unmarshal([]byte(ts.ReadFile("stdout")), &key))
		named = append(named, settings.Operator{Name: name, PublicKey: key.PublicKey})
	}
	for _, h := range ts.Value(Key).(*World).hosts {
		h.settings.Operators, h.settings.RequiredApprovals = named, approvals
	}
}

// hostFlags returns the tool's flags for hosts named as "a1,b1".
func (w *World) hostFlags(names string) ([]string, error) {
	var flags []string
	for _, name := range strings.Split(names, ",") {
		h, err := w.host(name)
		if err != nil {
			return nil, err
		}
		flags = append(flags, "--host", h.settings.HTTPAddress)
	}
	return flags, nil
}

func tool(ts *testscript.TestScript, neg bool, args []string) {
	flags, err := ts.Value(Key).(*World).hostFlags(args[0])
	ts.Check(err)
	err = ts.Exec(toolProgram, append(flags, args[1:]...)...)
	switch {
	case neg && err == nil:
		ts.Fatalf("succeeded, which is wrong here")
	case !neg && err != nil:
		ts.Fatalf("%v", err)
	}
}

func inForce(w *World, args []string) error {
	want, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	for _, name := range args[1:] {
		if err := w.waitInForce(name, want); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) waitInForce(name string, want uint64) error {
	var versions []uint64
	var err error
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(pollEvery) {
		versions, err = w.versions(name)
		if err == nil && len(versions) > 0 && versions[0] == want {
			return nil
		}
	}
	return fmt.Errorf("%s: served with versions %v, not with %d: %w", name, versions, want, err)
}

// versions returns the bundle versions that a host served with since its
// start, the newest first.
func (w *World) versions(name string) ([]uint64, error) {
	h, err := w.host(name)
	if err != nil {
		return nil, err
	}
	response, err := http.Get("http://" + h.settings.HTTPAddress + wire.PathReport)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var r report.Report
	if err := json.NewDecoder(response.Body).Decode(&r); err != nil {
		return nil, err
	}
	versions := make([]uint64, len(r.Bundles))
	for i, b := range r.Bundles {
		versions[i] = b.Version
	}
	return versions, nil
}

func (w *World) versionsGrow(name string) error {
	versions, err := w.versions(name)
	for i := 1; i < len(versions); i++ {
		if versions[i] >= versions[i-1] {
			return fmt.Errorf("%s: served with versions %v, the newest first", name, versions)
		}
	}
	return err
}

// race sends proposals of one version with different contents at once, each
// twice, and checks that one content won and that everybody was told which.
func race(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	hosts := strings.Split(args[4], ",")
	answers := make([][]byte, 2*count)
	var group errgroup.Group
	for i := range answers {
		n := i / 2
		file := ts.MkAbs(fmt.Sprintf("race-%d.yaml", n))
		text := fmt.Sprintf("version: %s\nbased_on: %s\nretry: {attempts: %d}\n", args[1], args[2], n+1)
		ts.Check(os.WriteFile(file, []byte(text), 0o600))
		flags, err := ts.Value(Key).(*World).hostFlags(hosts[i%len(hosts)])
		ts.Check(err)
		flags = append(flags, "bundle", "propose", file, "--key", ts.MkAbs(args[3]),
			"--request-id", fmt.Sprintf("race-%s-%d", args[1], n), "--output", "json")
		group.Go(func() (err error) {
			answers[i], err = propose(flags)
			return err
		})
	}
	ts.Check(group.Wait())
	ts.Check(oneWon(answers))
}

// proposeTries bounds how often an operator sends a proposal again.
const proposeTries = 20

// propose runs the tool until the answer is final and returns it. An unknown
// outcome, and a refusal that states when to come back, are not.
func propose(flags []string) ([]byte, error) {
	for range proposeTries {
		command := exec.Command(toolProgram, flags...)
		var out, errOut bytes.Buffer
		command.Stdout, command.Stderr = &out, &errOut
		err := command.Run()
		var exit *exec.ExitError
		switch {
		case err != nil && !errors.As(err, &exit):
			return nil, err
		case command.ProcessState.ExitCode() <= 1 && isFinal(out.Bytes()):
			return out.Bytes(), nil
		}
		time.Sleep(pollEvery)
	}
	return nil, errors.New("a proposal's outcome stayed unknown")
}

// isFinal reports whether a proposal would be answered so again.
func isFinal(text []byte) bool {
	var a control.Answer
	if json.Unmarshal(text, &a) != nil {
		return false
	}
	return a.Done() || failure.Lookup(a.Kind).RetryAfter == failure.Never
}

// oneWon checks the answers to a race; those of 2n and 2n+1 are to the same
// request.
func oneWon(texts [][]byte) error {
	winners := 0
	var first control.Answer
	var previous control.Answer
	for i, text := range texts {
		var a control.Answer
		if err := json.Unmarshal(text, &a); err != nil {
			return fmt.Errorf("%s: %w", text, err)
		}
		if i == 0 {
			first = a
		}
		switch {
		case a.Digest != first.Digest:
			return fmt.Errorf("told of two contents: %s and %s", first.Digest, a.Digest)
		case i%2 == 1 && a != previous:
			return fmt.Errorf("a resend got another answer: %+v, first %+v", a, previous)
		case !a.Done() && a.Kind != failure.VersionTaken:
			return fmt.Errorf("refused as %s: %s", a.Kind, a.Message)
		}
		if a.Done() && i%2 == 0 {
			winners++
		}
		previous = a
	}
	if winners != 1 {
		return fmt.Errorf("%d proposals won", winners)
	}
	return nil
}
