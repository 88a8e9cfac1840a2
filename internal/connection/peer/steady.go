package peer

import "google.golang.org/grpc"

// Steady returns a connection to host for other services between hosts. It
// returns nil for a host that is not in the settings.
func (c *Client) Steady(host string) grpc.ClientConnInterface {
	l, ok := c.links[host]
	if !ok {
		return nil
	}
	return l
}
