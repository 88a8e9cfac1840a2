package peer

import (
	"context"

	"google.golang.org/grpc"
)

// Steady returns a connection to host for other services between hosts. Each
// call uses the link's connection of that moment, so a silent one that was
// replaced does not matter. It returns nil for a host that is not in the
// settings.
func (c *Client) Steady(host string) grpc.ClientConnInterface {
	l, ok := c.links[host]
	if !ok {
		return nil
	}
	return steady{l}
}

type steady struct{ link *link }

// Invoke implements grpc.ClientConnInterface.
func (s steady) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	return s.link.current().Invoke(ctx, method, args, reply, opts...)
}

// NewStream implements grpc.ClientConnInterface.
func (s steady) NewStream(ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	return s.link.current().NewStream(ctx, desc, method, opts...)
}
