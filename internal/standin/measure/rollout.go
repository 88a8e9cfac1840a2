package measure

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"slices"
	"time"

	"wasabifield.example/wasabifield/internal/connection/operatorclient"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/request/report"
	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
)

const operatorName = "operator"

// Operator signs the changes of a measurement.
type Operator struct{ key ed25519.PrivateKey }

// NewOperator returns an operator with a fixed key.
func NewOperator() Operator {
	return Operator{ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))}
}

// Settings is the operator's entry in the settings of the hosts.
func (o Operator) Settings() settings.Operator {
	public := o.key.Public().(ed25519.PublicKey)
	return settings.Operator{Name: operatorName, PublicKey: base64.StdEncoding.EncodeToString(public)}
}

// Replace returns the command that puts a document in force in one step.
func (o Operator) Replace(version uint64, document []byte) control.Command {
	return o.ReplaceAs(fmt.Sprintf("replace-%d", version), version, document)
}

// ReplaceAs is Replace under a request id of the caller's.
func (o Operator) ReplaceAs(request string, version uint64, document []byte) control.Command {
	digest := bundle.DigestOf(document)
	c := control.Command{
		RequestID: request,
		Operator:  operatorName,
		Action:    control.Replace,
		Version:   version,
		Digest:    digest,
		Document:  document,
		Approvals: []control.Approval{control.NewApproval(operatorName, o.key, version, digest)},
	}
	return c.Sign(o.key)
}

// Rollout is one change of the bundle.
type Rollout struct {
	Answered time.Duration // from the command to its answer
	InForce  time.Duration // from the command to the last host in force
}

// keptVersions is how many versions each host's account certainly holds.
const keptVersions = 200

// Changes makes a number of changes through the hosts in turn, with a pause
// between two, and returns how long each of the last keptVersions took.
func (f *Fleet) Changes(ctx context.Context, o Operator, count int, pause time.Duration) ([]Rollout, error) {
	sent := make([]time.Time, count)
	rollouts := make([]Rollout, count)
	for i := range count {
		version := uint64(i + 1)
		document := fmt.Appendf(nil, "version: %d\nbased_on: %d\n", version, i)
		client := operatorclient.NewClient(operatorclient.Config{Hosts: []string{f.Hosts[i%len(f.Hosts)].HTTPAddress}, Timeout: readyLimit})
		sent[i] = time.Now()
		answer, err := client.Send(ctx, o.Replace(version, document), false)
		if err != nil {
			return nil, err
		}
		if !answer.Done() {
			return nil, fmt.Errorf("version %d: %s: %s", version, answer.Kind, answer.Message)
		}
		rollouts[i].Answered = time.Since(sent[i])
		time.Sleep(pause)
	}
	first := max(0, count-keptVersions)
	return rollouts[first:], f.addInForce(ctx, sent, rollouts, first)
}

// addInForce asks each host since when it served with each version. A host
// that skipped a version served with a newer one.
func (f *Fleet) addInForce(ctx context.Context, sent []time.Time, rollouts []Rollout, first int) error {
	for _, h := range f.Hosts {
		var r report.Report
		client := operatorclient.NewClient(operatorclient.Config{Hosts: []string{h.HTTPAddress}, Timeout: readyLimit})
		if err := client.Get(ctx, wire.PathReport, &r); err != nil {
			return err
		}
		slices.Reverse(r.Bundles)
		for i := first; i < len(sent); i++ {
			since, ok := servedSince(r.Bundles, uint64(i+1))
			if !ok {
				return fmt.Errorf("%s never served with version %d", h.Host, i+1)
			}
			rollouts[i].InForce = max(rollouts[i].InForce, since.Sub(sent[i]))
		}
	}
	return nil
}

// servedSince returns when a host first served with the version or a newer
// one. The bundles are in the order of their times.
func servedSince(bundles []report.BundleInForce, version uint64) (time.Time, bool) {
	for _, b := range bundles {
		if b.Version >= version {
			return b.Since, true
		}
	}
	return time.Time{}, false
}
