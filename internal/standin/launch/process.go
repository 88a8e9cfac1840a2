package launch

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Process is one running program.
type Process struct {
	Name   string
	cmd    *exec.Cmd
	exited chan struct{}
	err    error // valid once exited is closed
}

// Start runs program with args. Its output goes to log.
func Start(name string, log io.Writer, program string, args ...string) (*Process, error) {
	return StartWithEnv(nil, name, log, program, args...)
}

// StartWithEnv is Start with variables besides those of this process.
func StartWithEnv(variables []string, name string, log io.Writer, program string, args ...string) (*Process, error) {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), variables...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	p := &Process{Name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// PID returns the process's id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends s.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Suspend stops the process until Thaw.
func (p *Process) Suspend() error { return p.Signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Terminate asks for a graceful shutdown.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// HasExited returns whether the process has ended.
func (p *Process) HasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Wait waits for the end of the process for at most limit. Its error says how
// the process ended badly.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.exited:
		return p.err
	case <-time.After(limit):
		return fmt.Errorf("%s: still running after %s", p.Name, limit)
	}
}

// ExitCode waits for the end of the process for at most limit and returns its
// exit code, -1 if a signal ended it.
func (p *Process) ExitCode(limit time.Duration) (int, error) {
	err := p.Wait(limit)
	if !p.HasExited() {
		return 0, err
	}
	return p.cmd.ProcessState.ExitCode(), nil
}

// Stop asks for a graceful shutdown and waits for it. A process that does not
// end within limit is killed.
func (p *Process) Stop(limit time.Duration) error {
	if p.HasExited() {
		return p.err
	}
	_ = p.Terminate()
	err := p.Wait(limit)
	if !p.HasExited() {
		p.Kill()
	}
	return err
}
