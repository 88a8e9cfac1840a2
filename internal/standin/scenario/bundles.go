package scenario

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"wasabifield.example/wasabifield/internal/connection/operatorclient"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/request/report"
)

const controlTimeout = 5 * time.Second // of one command of an operator

// repairs returns how often a new disk of the host became a voter.
func (w *World) repairs(host string) int {
	log, err := os.ReadFile(w.logFile(host))
	if err != nil {
		return 0
	}
	return strings.Count(string(log), "The new disk counts as a voter")
}

// Replace sends the command that brings a version into force through a host.
// The verdict is "done", or the kind of the refusal. Two contents of a version
// differ in their tag.
func (w *World) Replace(version uint64, host, tag string) (verdict string, err error) {
	h, ok := w.hosts[host]
	if !ok {
		return "", fmt.Errorf("%s: no such host", host)
	}
	document := fmt.Appendf(nil, "# %s\nversion: %d\nbased_on: %d\n", tag, version, version-1)
	client := operatorclient.NewClient(operatorclient.Config{Hosts: []string{h.settings.HTTPAddress}, Timeout: controlTimeout})
	command := w.operator.ReplaceAs(fmt.Sprintf("replace-%d-%s", version, tag), version, document)
	answer, err := client.Send(context.Background(), command, false)
	var refused *operatorclient.RefusedError
	switch {
	case errors.As(err, &refused):
		return string(refused.Answer.Kind), nil
	case err != nil:
		return "unknown", nil
	case !answer.Done():
		return string(answer.Kind), nil
	}
	return "done", nil
}

// InForce waits until the host serves with the version or a newer one, and
// checks that it never went back to an older one.
func (w *World) InForce(version uint64, host string) error {
	return poll(func() error {
		bundles, err := w.bundles(host)
		if err != nil {
			return err
		}
		if err := onlyForward(host, bundles); err != nil {
			return err
		}
		if n := len(bundles); n == 0 || bundles[n-1].Version < version {
			return fmt.Errorf("%s: version %d is not in force", host, version)
		}
		return nil
	})
}

// NotInForce checks that the host does not serve with the version yet.
func (w *World) NotInForce(version uint64, host string) error {
	bundles, err := w.bundles(host)
	if err != nil {
		return err
	}
	if n := len(bundles); n > 0 && bundles[n-1].Version >= version {
		return fmt.Errorf("%s: version %d is in force", host, bundles[n-1].Version)
	}
	return nil
}

// bundles returns which bundles the host served with since its start, the
// oldest first.
func (w *World) bundles(host string) ([]report.BundleInForce, error) {
	h, ok := w.hosts[host]
	if !ok {
		return nil, fmt.Errorf("%s: no such host", host)
	}
	var r report.Report
	client := operatorclient.NewClient(operatorclient.Config{Hosts: []string{h.settings.HTTPAddress}, Timeout: controlTimeout})
	if err := client.Get(context.Background(), wire.PathReport, &r); err != nil {
		return nil, err
	}
	list := make([]report.BundleInForce, len(r.Bundles))
	for i, b := range r.Bundles {
		list[len(list)-1-i] = b
	}
	return list, nil
}

func onlyForward(host string, bundles []report.BundleInForce) error {
	for i := 1; i < len(bundles); i++ {
		if bundles[i].Version < bundles[i-1].Version {
			return fmt.Errorf("%s went from version %d back to %d", host, bundles[i-1].Version, bundles[i].Version)
		}
	}
	return nil
}
