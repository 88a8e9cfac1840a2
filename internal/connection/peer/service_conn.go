package peer

import "google.golang.org/grpc"

// ServiceConn returns a connection to host for other gRPC services between hosts. It
// may be kept, since each call uses the current connection of the link. It is nil if
// host is not in the settings.
func (c *Client) ServiceConn(host string) grpc.ClientConnInterface {
	link, ok := c.links[host]
	if !ok {
		return nil
	}
	return link
}
