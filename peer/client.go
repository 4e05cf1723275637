package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"figwheel/hop"
	"figwheel/peer/peerpb"
)

const (
	dialTime        = 500 * time.Millisecond
	idleTime        = 30 * time.Second
	idlePerAddress  = 2
	idleAll         = 2 * Fanout // probes go to all others in turn: few connections are met again
	messageBytesMax = 16 << 20

	// compressBytesMin is the size from which a message is compressed: below
	// it, the megabyte that a compressor takes costs more than the bytes.
	// Contents are compressed already.
	compressBytesMin = 32 << 10
)

// Client calls other daemons by their peer address.
type Client struct{ http *http.Client }

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(x context.Context, network, address string) (net.Conn, error)

// NewClient returns a client whose traffic m counts. Connections are opened by
// d, or as usual if that is nil.
func NewClient(m *Meter, d Dial) *Client {
	t := hop.NewTransport(0, dialTime, idleTime)
	if d == nil {
		d = t.DialContext
	}
	t.DialContext = m.Dial(d)
	t.MaxIdleConnsPerHost = idlePerAddress
	t.MaxIdleConns = idleAll
	return &Client{&http.Client{Transport: t}}
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) at(address string) peerpb.PeerServiceClient {
	return peerpb.NewPeerServiceClient(c.http, "http://"+address, connect.WithReadMaxBytes(messageBytesMax), connect.WithCompressMinBytes(compressBytesMin))
}

// Deliver carries a head to the daemon at the address and the tree below it.
func (c *Client) Deliver(x context.Context, address string, q *peerpb.DeliverRequest) (*peerpb.DeliverResponse, error) {
	return c.at(address).Deliver(x, q)
}

// Exchange swaps membership news with the daemon at the address.
func (c *Client) Exchange(x context.Context, address string, q *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return c.at(address).Exchange(x, q)
}

// Fetch returns a content of the daemon at the address, compressed, and whether
// against the base, which the caller has and may leave empty.
func (c *Client) Fetch(x context.Context, address, content, base string) (compressed []byte, delta bool, err error) {
	p, err := c.at(address).Fetch(x, &peerpb.FetchRequest{Content: content, Base: base})
	if err != nil {
		return nil, false, err
	}
	return p.GetCompressed(), p.GetDelta(), nil
}

// NewHandler returns the path and the handler of the service s.
func NewHandler(s peerpb.PeerServiceHandler) (string, http.Handler) {
	return peerpb.NewPeerServiceHandler(s, connect.WithReadMaxBytes(messageBytesMax), connect.WithCompressMinBytes(compressBytesMin))
}
