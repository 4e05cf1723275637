package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"figwheel/platform"
	"figwheel/platform/platformtest"
	"figwheel/store"
)

// TestOddControlObject guards against daemons that end, or never find each other again after a restart of all, because another writer has left one object among theirs.
func TestOddControlObject(t *testing.T) {
	t.Parallel()
	spec := func(name, value string) string {
		return `{"metadata":{"name":"` + name + `","revision":1},"specification":` + value + `}`
	}
	entry := func(address string) string {
		b, err := json.Marshal(roster{Instances: []rosterEntry{{Name: "odd", PeerAddress: address}}})
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	for name, odd := range map[string]string{
		"a string":                       spec("a", `"not base64"`),
		"nested":                         spec("a", nested(200_000)),
		"a nested roster":                spec("roster-a", nested(200_000)),
		"a roster that is a string":      spec("roster-a", `"not base64"`),
		"the roster of the site, nested": "", // it is in the store, and has to be replaced
		"a roster of another type":       spec("roster-a", `{"Instances":7}`),
		"a number beyond any integer":    `{"metadata":{"name":"roster-a","revision":1e300},"specification":{}}`,
		"a head that is nested":          spec("head", nested(200_000)),
		"a roster with a port too large": spec("roster-a", entry("127.0.0.1:99999")),
		"a roster with a negative port":  spec("roster-a", entry("127.0.0.1:-1")),
		"a roster without an address":    spec("roster-a", entry("")),
		"a roster with no address":       spec("roster-a", entry("%zz\x00 /?#[::")),
		"a roster without end":           spec("roster-a", `{"Instances":[`+strings.Repeat(`{"Name":"x","PeerAddress":"127.0.0.1:9"},`, 20_000)+`{}]}`),
		"no object":                      `5`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newStore()
			if odd == "" {
				if _, err := s.Put(context.Background(), "control/roster-site-0", store.Absent, []byte(nested(200_000))); err != nil {
					t.Fatal(err)
				}
			}
			h := platformtest.Handler{Store: s}
			v := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				p := httptest.NewRecorder()
				h.ServeHTTP(p, r)
				b := p.Body.Bytes()
				if r.Method == http.MethodGet && r.URL.Path == "/api/objects/control" {
					b = bytes.Replace(b, []byte(`"items":null`), []byte(`"items":[`+odd+`]`), 1)
					b = bytes.Replace(b, []byte(`"items":[{"metadata"`), []byte(`"items":[`+strings.TrimPrefix(odd+`,`, `,`)+`{"metadata"`), 1)
				}
				w.Header().Set("Content-Length", strconv.Itoa(len(b)))
				w.WriteHeader(p.Code)
				_, _ = w.Write(b)
			}))
			t.Cleanup(v.Close)
			f := &fleet{t: t, store: s, wrap: func(string) store.Store { return &platform.Client{Base: v.URL} }}
			f.startAll(1, 3)
			for i := range f.daemons {
				f.kill(i)
			}
			for i, d := range f.daemons {
				f.start(i, d.Settings())
			}
			f.wait("all know each other again", func() bool { return f.all(func(c *control) bool { return len(c.table.Live()) == 3 }) })
			f.wait("the roster of the site is written", func() bool {
				o, err := s.Get(context.Background(), "control/roster-site-0")
				return err == nil && bytes.Contains(o.Value, []byte("i-002"))
			})
		})
	}
}
