package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"figwheel/hop"
	"figwheel/peer/peerpb"
	"figwheel/site"
)

const (
	dialTimeout            = 500 * time.Millisecond
	idleTimeout            = 30 * time.Second
	idleConnsPerAddressMax = 2
	idleConnsMax           = 2 * Fanout // low, because probes go to all other daemons in turn and rarely reuse a connection
	messageBytesMax        = 16 << 20

	// responseBytesMax bounds a response to a message, in bytes, but one with a content. A
	// table of some thousand instances fits. A daemon awaits several at a time.
	responseBytesMax = 512 << 10
	// contentBytesMax bounds a response with a content, in bytes: one of the largest size and
	// a mebibyte for the other fields. A daemon fetches few at a time.
	contentBytesMax = site.BundleBytesMax + 1<<20

	// compressBytesMin is the size from which a message is compressed, in bytes.
	// For smaller messages, the megabyte of memory that a compressor needs costs
	// more than the bytes saved. Contents are already compressed.
	compressBytesMin = 32 << 10
)

// Client calls other daemons at their peer addresses.
type Client struct {
	http    *http.Client
	service peerpb.PeerServiceClient // calls the address in the context
	fetches peerpb.PeerServiceClient // the same, for responses with contents
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
	o := connect.WithCompressMinBytes(compressBytesMin)
	responses, contents := connect.WithReadMaxBytes(responseBytesMax), connect.WithReadMaxBytes(contentBytesMax)
	a, b := addressedClient{hop.CheckedClient{Client: h}, responseBytesMax}, "http://"+placeholderHost
	return &Client{
		http:    h,
		service: peerpb.NewPeerServiceClient(a, b, o, responses),
		fetches: peerpb.NewPeerServiceClient(addressedClient{a.http, contentBytesMax}, b, o, contents),
		quotas:  peerpb.NewQuotaServiceClient(a, b, o, responses),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// placeholderHost is the host in the client's base URL. The address in the
// context of a request replaces it.
const placeholderHost = "peer"

type addressKey struct{}

// addressedClient sends each request to the address in its context, so that one
// client serves all peers: creating a client costs more than a call. It returns an error for
// a response of more than bytesMax, of which the connect library would keep twice as much, and
// read the rest as long as there is any.
type addressedClient struct {
	http     hop.CheckedClient
	bytesMax int64
}

// Do implements connect.HTTPClient.
func (a addressedClient) Do(q *http.Request) (*http.Response, error) {
	if s, ok := q.Context().Value(addressKey{}).(string); ok {
		u := *q.URL
		u.Host = s
		q.URL = &u
		q.Host = s
	}
	p, err := a.http.Do(q)
	if err != nil {
		return nil, err
	}
	b, err := hop.ReadBody(p, a.bytesMax)
	if err != nil {
		return nil, err
	}
	p.Body = io.NopCloser(bytes.NewReader(b))
	return p, nil
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
	p, err := c.fetches.Fetch(withAddress(x, address), &peerpb.FetchRequest{Content: content, Base: base})
	if err != nil {
		return nil, false, err
	}
	return p.GetCompressed(), p.GetDelta(), nil
}

// NewHandler returns the path and the handler of the service s.
func NewHandler(s peerpb.PeerServiceHandler) (string, http.Handler) {
	return peerpb.NewPeerServiceHandler(s, connect.WithReadMaxBytes(messageBytesMax), connect.WithCompressMinBytes(compressBytesMin))
}
