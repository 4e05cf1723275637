package contract_test

import (
	"slices"
	"testing"

	"figwheel/contract"
)

// TestAccountRankOrdersByAccountThenRoute guards against a request of a less important
// account that passes one of a more important account because its route ranks higher, or
// because a rank is out of the range that is told apart.
func TestAccountRankOrdersByAccountThenRoute(t *testing.T) {
	const most = 1<<20 - 1 // LinkHandler ranks requests without a readable rank behind it
	var got []int
	for _, r := range [][2]int{{0, 0}, {0, 1}, {0, 1 << 40}, {1, -3}, {1, 2}, {7, 0}, {1 << 40, 1 << 40}} {
		got = append(got, contract.AccountRank(r[0], r[1]))
	}
	if !slices.IsSorted(got) || len(slices.Compact(slices.Clone(got))) != len(got) || got[len(got)-1] > most {
		t.Errorf("got %v, want ascending ranks up to %d", got, most)
	}
	for i := range 5 {
		if r := contract.AccountRank(0, i); r != i {
			t.Errorf("account rank 0 and route rank %d: got %d, want the route's", i, r)
		}
	}
}
