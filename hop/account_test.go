package hop_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/contract"
	"figwheel/hop"
)

// TestKeyIsDroppedWhateverItsName guards against a key, or the claim of a client account,
// that is forwarded because an installation's names for them lack figwheel's prefix.
func TestKeyIsDroppedWhateverItsName(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	got := make(chan http.Header, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			got <- q.Header
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	tr := hop.NewTransport(0, time.Second, time.Minute)
	defer tr.CloseIdleConnections()
	r := httptest.NewRequest(http.MethodGet, "http://h.example/", nil)
	r.Header = http.Header{"X-Key": {"secret"}, "X-Account": {"forged"}, "X-Kept": {"kept"}}
	h := hop.Hop{
		Transport: tr, Address: l.Addr().String(),
		Headers: contract.Headers{Key: "X-Key", Account: "X-Account"},
		Set:     []hop.Field{{Name: "X-Account", Value: "true"}},
	}
	w := httptest.NewRecorder()
	if f := h.Do(context.Background(), w, r, hop.NewBody(w, r)); !f.OK() {
		t.Fatalf("got %+v", f)
	}
	want := http.Header{"X-Account": {"true"}, "X-Kept": {"kept"}}
	if d := cmp.Diff(want, <-got); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}
