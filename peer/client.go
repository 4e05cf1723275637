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
type Client struct {
	http    *http.Client
	service peerpb.PeerServiceClient // of whichever daemon the context names
}

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
	h := &http.Client{Transport: t}
	return &Client{h, peerpb.NewPeerServiceClient(addressed{h}, "http://"+anyPeer, connect.WithReadMaxBytes(messageBytesMax), connect.WithCompressMinBytes(compressBytesMin))}
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// anyPeer stands for the host where the address is in the context.
const anyPeer = "peer"

type addressKey struct{}

// addressed sends each request to the address in its context, so that one
// client serves all peers: setting one up for each call costs more than the call.
type addressed struct{ http *http.Client }

// Do implements connect.HTTPClient.
func (a addressed) Do(q *http.Request) (*http.Response, error) {
	if s, ok := q.Context().Value(addressKey{}).(string); ok {
		u := *q.URL
		u.Host = s
		q.URL = &u
		q.Host = s
	}
	return a.http.Do(q)
}

func to(x context.Context, address string) context.Context {
	return context.WithValue(x, addressKey{}, address)
}

// Deliver carries a head to the daemon at the address and the tree below it.
func (c *Client) Deliver(x context.Context, address string, q *peerpb.DeliverRequest) (*peerpb.DeliverResponse, error) {
	return c.service.Deliver(to(x, address), q)
}

// Exchange swaps membership news with the daemon at the address.
func (c *Client) Exchange(x context.Context, address string, q *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return c.service.Exchange(to(x, address), q)
}

// Fetch returns a content of the daemon at the address, compressed, and whether
// against the base, which the caller has and may leave empty.
func (c *Client) Fetch(x context.Context, address, content, base string) (compressed []byte, delta bool, err error) {
	p, err := c.service.Fetch(to(x, address), &peerpb.FetchRequest{Content: content, Base: base})
	if err != nil {
		return nil, false, err
	}
	return p.GetCompressed(), p.GetDelta(), nil
}

// NewHandler returns the path and the handler of the service s.
func NewHandler(s peerpb.PeerServiceHandler) (string, http.Handler) {
	return peerpb.NewPeerServiceHandler(s, connect.WithReadMaxBytes(messageBytesMax), connect.WithCompressMinBytes(compressBytesMin))
}
