package demo_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/demo"
	"figwheel/examples"
)

// TestDemo runs each deployment for one second. It checks that the rejected, the
// concurrent and the accepted changes all took place, and that the counts show no
// violated guarantee. It also checks that an unknown deployment is an error.
func TestDemo(t *testing.T) {
	for _, n := range examples.Names() {
		t.Run(n, func(t *testing.T) {
			r, err := demo.Run(context.Background(), demo.Options{Deployment: n, For: time.Second, Seed: 1, Out: io.Discard})
			if err != nil {
				t.Fatal(err)
			}
			if !r.GuaranteesHeld() || r.Wrong > 0 || r.Calls == 0 {
				t.Errorf("%+v", r)
			}
			got := []int{r.Refused, r.Conflicts, int(r.Version) - r.Accepted}
			if d := cmp.Diff([]int{2, 1, 0}, got); d != "" {
				t.Errorf("refused, conflicts, versions without acceptance (-want +got)\n%s", d)
			}
		})
	}
	if _, err := demo.Run(context.Background(), demo.Options{Deployment: "nowhere", Out: io.Discard}); err == nil {
		t.Error("got no error for an unknown deployment")
	}
}
