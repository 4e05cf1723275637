package site_test

import (
	"fmt"
	"maps"
	"net/http/httptest"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"

	"figwheel/result"
	"figwheel/site"
)

// readArchive returns the bundle in an archive of testdata, and the archive's other
// files by name.
func readArchive(t *testing.T, path string) (site.Bundle, map[string]string) {
	t.Helper()
	a, err := txtar.ParseFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var b site.Bundle
	rest := make(map[string]string)
	for _, f := range a.Files {
		switch {
		case f.Name == "base.yaml":
			b.Base = site.File{Name: f.Name, Text: string(f.Data)}
		case strings.HasSuffix(f.Name, ".yaml"):
			b.Overlays = append(b.Overlays, site.File{Name: f.Name, Text: string(f.Data)})
		default:
			rest[f.Name] = string(f.Data)
		}
	}
	return b, rest
}

// archivePaths returns the paths of the archives in a directory of testdata.
func archivePaths(t *testing.T, dir string) []string {
	t.Helper()
	l, err := filepath.Glob(filepath.Join("testdata", dir, "*.txt"))
	if err != nil || len(l) == 0 {
		t.Fatalf("no files: %v", err)
	}
	return l
}

var monday = time.Date(2026, 12, 7, 9, 0, 0, 0, time.UTC)

// TestCheck compares the problems of each bundle with its comments of the form
// # want CODE "text". A comment expects a problem on its own line, with this code
// and with a text that contains the given one. There must be no other problems.
func TestCheck(t *testing.T) {
	w := regexp.MustCompile(`# want (FW\d+) ("(?:[^"\\]|\\.)*")`)
	for _, p := range archivePaths(t, "check") {
		t.Run(filepath.Base(p), func(t *testing.T) {
			b, _ := readArchive(t, p)
			_, problems := site.Check(b, monday)
			got := make(map[string][]string)
			for _, q := range problems {
				k := fmt.Sprintf("%s:%d %s", q.At.File, q.At.Line, q.Code)
				got[k] = append(got[k], q.Text)
			}
			for _, f := range append([]site.File{b.Base}, b.Overlays...) {
				for i, l := range strings.Split(f.Text, "\n") {
					for _, m := range w.FindAllStringSubmatch(l, -1) {
						var s string
						_, _ = fmt.Sscanf(m[2], "%q", &s)
						k := fmt.Sprintf("%s:%d %s", f.Name, i+1, m[1])
						n := slices.IndexFunc(got[k], func(g string) bool { return strings.Contains(g, s) })
						if n < 0 {
							t.Errorf("%s: no problem with %q among %q", k, s, got[k])
							continue
						}
						got[k] = slices.Delete(got[k], n, n+1)
					}
				}
			}
			maps.DeleteFunc(got, func(_ string, v []string) bool { return len(v) == 0 })
			if d := cmp.Diff(map[string][]string{}, got); d != "" {
				t.Errorf("unexpected (-want +got)\n%s", d)
			}
		})
	}
}

// TestRoutes checks which service each request of the archives is routed to, and
// whether the request is idempotent.
func TestRoutes(t *testing.T) {
	for _, p := range archivePaths(t, "route") {
		b, rest := readArchive(t, p)
		f, problems := site.Check(b, monday)
		if len(problems) > 0 {
			t.Fatal(problems)
		}
		for l := range strings.Lines(rest["requests"]) {
			w := strings.Fields(l)
			s, err := f.Snapshot(w[0], 7, "c")
			if err != nil {
				t.Fatal(err)
			}
			u, edition, _ := strings.Cut(w[2], "?edition=")
			r := httptest.NewRequest(w[1], "http://"+u, nil)
			r.Header.Set("Edition", edition)
			got := []string{"none"}
			if m, ok := s.Match(r); ok {
				got[0] = m.Pick(0)
				if v, _ := s.Service(got[0]); !v.Idempotent(r.Method, r.URL.Path) {
					got = append(got, "once")
				}
			}
			if d := cmp.Diff(w[3:], got); d != "" {
				t.Errorf("%s(-want +got)\n%s", l, d)
			}
		}
	}
}

// TestCheckSiteAgrees guards against a daemon that compiles another configuration
// for its site than the submitting daemon checked: Check and CheckSite must
// merge a site in the same way.
func TestCheckSiteAgrees(t *testing.T) {
	b, _ := readArchive(t, "testdata/route/trentside.txt")
	all, _ := site.Check(b, monday)
	for _, s := range all.Sites() {
		one, p := site.CheckSite(b, s)
		if len(p) > 0 {
			t.Fatal(p)
		}
		if d := cmp.Diff(all.Lines(s), one.Lines(s)); d != "" {
			t.Errorf("%s (-all +one)\n%s", s, d)
		}
	}
}

// TestDiffNamesChangedSitesOnly guards against a change that is held up by the breaks
// of sites whose configuration it does not change, such as by a comment.
func TestDiffNamesChangedSitesOnly(t *testing.T) {
	b, _ := readArchive(t, "testdata/route/trentside.txt")
	c, _ := site.Check(b, monday)
	b.Base.Text += "\n# a comment\n"
	b.Overlays[1].Text += "Services:\n  one: {Queue: 9}\n"
	n, p := site.Check(b, monday)
	if len(p) > 0 {
		t.Fatal(p)
	}
	want := []site.Diff{{Site: "b", Added: []site.Line{{Key: "Services.one.Queue", Value: "9", At: site.Position{File: "b.yaml", Line: 7, Column: 16}}}}}
	if d := cmp.Diff(want, c.Diff(n)); d != "" {
		t.Errorf("(-want +got)\n%s", d)
	}
}

func TestSnapshotOfUnknownSite(t *testing.T) {
	b, _ := readArchive(t, "testdata/route/trentside.txt")
	c, _ := site.Check(b, monday)
	if _, err := c.Snapshot("c", 1, ""); result.CodeOf(err) != result.UnknownSite {
		t.Errorf("got %v", err)
	}
}

// FuzzCheck guards against input that crashes the check, and against bundles that
// pass the check but cannot be compiled.
func FuzzCheck(f *testing.F) {
	l, _ := filepath.Glob("testdata/*/*.txt")
	for _, p := range l {
		if a, err := txtar.ParseFile(p); err == nil && len(a.Files) > 1 {
			f.Add(string(a.Files[0].Data), string(a.Files[1].Data))
		}
	}
	f.Fuzz(func(t *testing.T, base, overlay string) {
		b := site.Bundle{Base: site.File{Name: "base.yaml", Text: base}, Overlays: []site.File{{Name: "o.yaml", Text: overlay}}}
		c, p := site.Check(b, monday)
		if len(p) > 0 {
			return
		}
		for _, s := range c.Sites() {
			v, err := c.Snapshot(s, 1, "")
			if err != nil {
				t.Fatal(err)
			}
			v.Match(httptest.NewRequest("GET", "http://h.example/r", nil))
		}
	})
}
