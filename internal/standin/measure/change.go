package measure

import (
	"bytes"
	"context"
	"fmt"

	"wasabifield.example/wasabifield/internal/connection/operatorclient"
)

// Changer changes the bundle of a fleet whose settings name operator.
type Changer struct {
	client   *operatorclient.Client
	operator Operator
	teams    int
	version  uint64
}

// NewChanger returns a Changer whose bundles name the given number of teams.
func (f *Fleet) NewChanger(operator Operator, teams int) *Changer {
	return &Changer{
		client:   operatorclient.NewClient(operatorclient.Config{Hosts: f.Entries(), Timeout: readyLimit}),
		operator: operator,
		teams:    teams,
	}
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
	if _, err := c.client.Send(ctx, c.operator.Replace(c.version+1, text), false); err != nil {
		return 0, err
	}
	c.version++
	return len(text), nil
}
