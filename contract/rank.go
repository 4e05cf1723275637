package contract

// rankSpan is the number of ranks of routes that are told apart within each rank of
// client accounts, and of ranks of accounts.
const rankSpan = 1 << 10

// AccountRank returns the rank in admission of a request whose client account has
// the rank account and whose route has the rank route: all requests of the accounts of
// one rank come before those of the next, and among them the route decides. It answers
// an overload in which accounts compete for slots. Ranks outside 0 to rankSpan-1 count
// as the nearest one.
func AccountRank(account, route int) int {
	return clampRank(account)*rankSpan + clampRank(route)
}

// clampRank returns the rank nearest to r that AccountRank tells apart.
func clampRank(r int) int { return min(max(0, r), rankSpan-1) }
