package measure

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"wasabifield.example/wasabifield/internal/connection/operatorclient"
	"wasabifield.example/wasabifield/internal/connection/wire"
	"wasabifield.example/wasabifield/internal/process/settings"
	"wasabifield.example/wasabifield/internal/request/job"
	"wasabifield.example/wasabifield/internal/version/bundle"
	"wasabifield.example/wasabifield/internal/version/control"
)

const (
	operatorName  = "operator"
	changeTimeout = 20 * time.Second
	forcePoll     = 20 * time.Millisecond
)

// operatorKey signs every change of a fleet.
var operatorKey = ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))

func operatorSettings() []settings.Operator {
	public := operatorKey.Public().(ed25519.PublicKey)
	return []settings.Operator{{Name: operatorName, PublicKey: base64.StdEncoding.EncodeToString(public)}}
}

// Changer changes the bundle of a fleet.
type Changer struct {
	fleet   *Fleet
	client  *operatorclient.Client
	teams   int
	version uint64
}

// NewChanger returns a Changer whose bundles name the given number of teams.
func (f *Fleet) NewChanger(teams int) *Changer {
	return &Changer{fleet: f, client: operatorclient.NewClient(f.Entries(), changeTimeout), teams: teams}
}

// document returns the next bundle.
func (c *Changer) document() []byte {
	text := &bytes.Buffer{}
	fmt.Fprintf(text, "version: %d\nbased_on: %d\nteams:\n", c.version+1, c.version)
	for i := range c.teams {
		fmt.Fprintf(text, "  - {name: team-%03d, in_progress: %d, queued: 2000}\n", i, 100+int(c.version)%50)
	}
	return text.Bytes()
}

// Change brings the next bundle into force by one command. It returns the
// bundle's size in bytes.
func (c *Changer) Change(ctx context.Context) (int, error) {
	text := c.document()
	digest := bundle.DigestOf(text)
	command := control.Command{
		Request:   fmt.Sprintf("measure-%d", c.version+1),
		Operator:  operatorName,
		Action:    control.Replace,
		Version:   c.version + 1,
		Digest:    digest,
		Document:  text,
		Approvals: []control.Approval{control.NewApproval(operatorName, operatorKey, c.version+1, digest)},
	}
	if _, err := c.client.Send(ctx, command.Sign(operatorKey), false); err != nil {
		return 0, err
	}
	c.version++
	return len(text), nil
}

// AwaitForce waits until every host answers by the last bundle and returns
// when the last of them did.
func (c *Changer) AwaitForce(ctx context.Context) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for _, h := range c.fleet.Hosts {
		for {
			version, err := versionInForce(ctx, h.HTTP)
			if err != nil {
				return time.Time{}, fmt.Errorf("%s: %w", h.Host, err)
			}
			if version >= c.version {
				break
			}
			time.Sleep(forcePoll)
		}
	}
	return time.Now(), nil
}

// versionInForce reads the version from the refusal of an empty submission.
func versionInForce(ctx context.Context, address string) (uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+wire.PathJobs, http.NoBody)
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer job.Answer
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer.Bundle, err
}
