package launch

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports below the range that the kernel gives to outgoing connections, so that
// none of these takes a port between its choice and its use.
const (
	lowestPort  = 15_000
	highestPort = 32_000
	portTries   = 200
)

// Ports chooses free ports, each once. It is not safe for concurrent use.
type Ports struct {
	given map[int]bool
}

// NewPorts returns a Ports that has given none.
func NewPorts() *Ports { return &Ports{given: map[int]bool{}} }

// Address returns 127.0.0.1 with a port that nothing listens at.
func (p *Ports) Address() (string, error) {
	for range portTries {
		port := lowestPort + rand.IntN(highestPort-lowestPort)
		if p.given[port] {
			continue
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		p.given[port] = true
		return address, nil
	}
	return "", fmt.Errorf("no free port in %d tries", portTries)
}
