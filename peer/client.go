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
	dialTimeout            = 500 * time.Millisecond
	idleTimeout            = 30 * time.Second
	idleConnsPerAddressMax = 2
	idleConnsMax           = 2 * Fanout // low, because probes go to all other daemons in turn and rarely reuse a connection
	messageBytesMax        = 16 << 20

	// compressBytesMin is the size from which a message is compressed, in bytes.
	// For smaller messages, the megabyte of memory that a compressor needs costs
	// more than the bytes saved. Contents are already compressed.
	compressBytesMin = 32 << 10
)

// Client calls other daemons at their peer addresses.
type Client struct {
	http    *http.Client
	service peerpb.PeerServiceClient // calls the address in the context
	quotas  peerpb.QuotaServiceClient
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(x context.Context, network, address string) (net.Conn, error)

// NewClient returns a client whose traffic is counted by m. It opens connections
// with d, or with the default dialer if d is nil.
func NewClient(m *Meter, d Dial) *Client {
	t := hop.NewTransport(0, dialTimeout, idleTimeout)
	if d == nil {
		d = t.DialContext
	}
	t.DialContext = m.Dial(d)
	t.MaxIdleConnsPerHost = idleConnsPerAddressMax
	t.MaxIdleConns = idleConnsMax
	h := &http.Client{Transport: t}
	o := []connect.ClientOption{connect.WithReadMaxBytes(messageBytesMax), connect.WithCompressMinBytes(compressBytesMin)}
	a, b := addressedClient{hop.Client{Client: h}}, "http://"+placeholderHost
	return &Client{h, peerpb.NewPeerServiceClient(a, b, o...), peerpb.NewQuotaServiceClient(a, b, o...)}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// placeholderHost is the host in the client's base URL. The address in the
// context of a request replaces it.
const placeholderHost = "peer"

type addressKey struct{}

// addressedClient sends each request to the address in its context, so that one
// client serves all peers: creating a client costs more than a call.
type addressedClient struct{ http hop.Client }

// Do implements connect.HTTPClient.
func (a addressedClient) Do(q *http.Request) (*http.Response, error) {
	if s, ok := q.Context().Value(addressKey{}).(string); ok {
		u := *q.URL
		u.Host = s
		q.URL = &u
		q.Host = s
	}
	return a.http.Do(q)
}

// withAddress returns x with the address that requests are sent to.
func withAddress(x context.Context, address string) context.Context {
	return context.WithValue(x, addressKey{}, address)
}

// Deliver sends a head to the daemon at the address, which forwards it to the tree
// below it, and returns the report of both.
func (c *Client) Deliver(x context.Context, address string, q *peerpb.DeliverRequest) (*peerpb.DeliverResponse, error) {
	return c.service.Deliver(withAddress(x, address), q)
}

// Exchange probes the daemon at the address and exchanges membership news, heads
// and suspected requests with it.
func (c *Client) Exchange(x context.Context, address string, q *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return c.service.Exchange(withAddress(x, address), q)
}

// Fetch returns a content from the daemon at the address, compressed. Base is the
// hash of a content that the caller has, or empty. If delta is true, the content
// is compressed against the base. Without an error, compressed is empty if the
// daemon does not keep the content.
func (c *Client) Fetch(x context.Context, address, content, base string) (compressed []byte, delta bool, err error) {
	p, err := c.service.Fetch(withAddress(x, address), &peerpb.FetchRequest{Content: content, Base: base})
	if err != nil {
		return nil, false, err
	}
	return p.GetCompressed(), p.GetDelta(), nil
}

// NewHandler returns the path and the handler of the service s.
func NewHandler(s peerpb.PeerServiceHandler) (string, http.Handler) {
	return peerpb.NewPeerServiceHandler(s, connect.WithReadMaxBytes(messageBytesMax), connect.WithCompressMinBytes(compressBytesMin))
}
