package caller

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"figwheel/contract"
	"figwheel/hop"
	"figwheel/link"
	"figwheel/result"
)

// TestOffersCountsByResultAndAgeOfReport guards against metrics that hide offers to full
// instances among other failures, or that count an instance without a report as well
// known.
func TestOffersCountsByResultAndAgeOfReport(t *testing.T) {
	type counts struct{ Answered, Full, Failed int64 }
	var o Offers
	now := time.Now()
	o.begin(&link.Candidate{Peer: &link.Peer{}}, now)
	for _, f := range []hop.Result{{Outcome: contract.Run, Status: 200}, hop.NotRun(result.Overloaded, ""), hop.NotRun(result.Overloaded, ""), hop.NotRun(result.Leaving, "")} {
		o.end(f)
	}
	if d := cmp.Diff(counts{1, 2, 1}, counts{o.Answered(), o.Full(), o.Failed()}); d != "" {
		t.Errorf("counts (-want +got):\n%s", d)
	}
	if got, want := o.ReportAge(), reportAgeWeight*reportAgeMax.Seconds(); got != want {
		t.Errorf("mean age %v s after one choice without a report, want %v", got, want)
	}
	(*Offers)(nil).begin(nil, now)
	(*Offers)(nil).end(hop.Result{})
}
