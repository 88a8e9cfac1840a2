package peer

import "google.golang.org/grpc"

// ServiceConn returns a connection to host for other services between hosts. It
// returns nil for a host that is not in the settings.
func (c *Client) ServiceConn(host string) grpc.ClientConnInterface {
	l, ok := c.links[host]
	if !ok {
		return nil
	}
	return l
}
