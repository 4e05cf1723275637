// Package quota limits the requests that the callers of a client account send, summed
// over all daemons.
//
// Each daemon has a Limiter, which admits or rejects requests and counts them. It reports
// the counts to an aggregator, a daemon of its own data centre, which adds them up in a
// Ledger. The aggregators send each other the counts that they received, so that each of
// them keeps a token bucket for each account over the admissions of the whole fleet. The
// answer to a report lists the accounts that are short: their callers send more than the
// quota has room for, and each daemon admits a share of the requests. All other accounts
// are admitted freely and only counted.
//
// A daemon without recent answers is isolated. It admits what its part of the quota has
// room for, and the aggregators leave that part of the quota to it.
//
// All decisions are functions of their arguments and the present time. Nothing here
// sends a message or starts a goroutine. docs/design/quotas.md is the design.
package quota
