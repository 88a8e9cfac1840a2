package scenario_test

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"wasabifield.example/wasabifield/internal/process/daemon"
	"wasabifield.example/wasabifield/internal/process/tool"
	"wasabifield.example/wasabifield/internal/standin/command"
	"wasabifield.example/wasabifield/internal/standin/history"
	"wasabifield.example/wasabifield/internal/standin/scenario"
)

// leaveWithin is how long after its leaving, or the end of its lease, a target
// may be offered tasks: the lease and a generous time on the way.
const leaveWithin = 4 * time.Second

// TestMain makes the test binary serve as the real programs.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wasabifieldd": func() { os.Exit(daemon.Main()) },
		"standin":      command.Main,
		"wasabifield":  func() { os.Exit(tool.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func newWorld(folder string) (*scenario.World, error) {
	daemonProgram, err := exec.LookPath("wasabifieldd")
	if err != nil {
		return nil, err
	}
	target, err := exec.LookPath("standin")
	if err != nil {
		return nil, err
	}
	return scenario.NewWorld(scenario.WorldConfig{
		Folder: folder,
		Daemon: daemonProgram,
		Target: target,
		Check:  history.CheckConfig{LeaveGracePeriod: leaveWithin},
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Cmds:                scenario.ControlCommands(),
		RequireUniqueNames:  true,
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			w, err := newWorld(env.WorkDir)
			if err != nil {
				return err
			}
			env.Defer(w.Close)
			env.Values[scenario.Key] = w
			return nil
		},
	})
}
