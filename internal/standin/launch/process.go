package launch

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Process is a program started as a child process, running or ended.
type Process struct {
	Name    string
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error // result of cmd.Wait, valid once exited is closed
}

// Start starts program with args and the environment of this process. The
// standard output and standard error of the program go to log.
func Start(name string, log io.Writer, program string, args ...string) (*Process, error) {
	return StartWithEnv(nil, name, log, program, args...)
}

// StartWithEnv is Start with env, a list of NAME=value, added to the environment
// of this process.
func StartWithEnv(env []string, name string, log io.Writer, program string, args ...string) (*Process, error) {
	cmd := exec.Command(program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	p := &Process{Name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		p.exitErr = cmd.Wait()
		close(p.exited)
	}()
	return p, nil
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends s to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Suspend stops the process with SIGSTOP until Resume.
func (p *Process) Suspend() error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a suspended process with SIGCONT.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Kill ends the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Terminate requests a graceful shutdown with SIGTERM. It does not wait.
func (p *Process) Terminate() error { return p.Signal(syscall.SIGTERM) }

// HasExited reports whether the process has exited.
func (p *Process) HasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Wait waits at most timeout until the process has exited. It returns an error
// if the process is still running, exited with another code than 0 or was ended
// by a signal.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(timeout):
		return fmt.Errorf("%s: still running after %s", p.Name, timeout)
	}
}

// ExitCode waits at most timeout until the process has exited and returns its
// exit code, or -1 if a signal ended the process. It returns an error only if
// the process is still running.
func (p *Process) ExitCode(timeout time.Duration) (int, error) {
	err := p.Wait(timeout)
	if !p.HasExited() {
		return 0, err
	}
	return p.cmd.ProcessState.ExitCode(), nil
}

// Stop requests a graceful shutdown and waits at most timeout until the process
// has exited; then it kills the process. It returns the error of Wait.
func (p *Process) Stop(timeout time.Duration) error {
	if p.HasExited() {
		return p.exitErr
	}
	_ = p.Terminate()
	err := p.Wait(timeout)
	if !p.HasExited() {
		p.Kill()
	}
	return err
}
