package quota

import (
	"time"

	"github.com/zeebo/xxh3"
)

// ID identifies an account in messages.
type ID uint64

// NewID returns the ID of the account with that name.
func NewID(account string) ID { return ID(xxh3.HashString(account)) }

// Limit is the quota of one account.
type Limit struct {
	Account string
	Rate    float64 // requests per second that all daemons together admit, 0 for no limit
	Burst   float64 // requests that may be saved up
}

// Count is what a sender has counted of one account.
type Count struct {
	Account     ID
	Offered     int64 // requests that arrived since the sender's start, including rejected ones
	Admitted    int64 // requests that were admitted since then, less the refunded ones
	NewOffered  int64 // part of Offered since the report with the sequence Report.Base
	NewAdmitted int64 // part of Admitted since then, may be negative
	Recent      int64 // part of Admitted in the time Report.RecentTime
}

// Share states how much of the demand of an account that is short is admitted.
type Share struct {
	Account ID
	Share   float64 // from 0 to 1, part of the arriving requests that is admitted
	Level   float64 // tokens in the account's bucket, negative for a debt
}

// Report is a message of counts: of a daemon to its aggregator, or of one aggregator to
// another about the daemons that report to it.
type Report struct {
	From        string        // instance of the sender
	Incarnation uint64        // of the sender; a start has a greater one than the start before
	Sequence    uint64        // of this report, greater than that of the report before
	Base        uint64        // sequence of the sender's newest report that was acknowledged
	Age         time.Duration // of the report with the sequence Base, for a report between aggregators
	Counts      []Count
	RecentTime  time.Duration // 0 if Count.Recent is not stated
	Told        []Share       // shares that the sender has, for a receiver that has none yet
	Reporters   int           // daemons that report to the sender, if it is an aggregator
}

// Answer is an aggregator's answer to a report.
type Answer struct {
	Short []Share // accounts that are not listed are admitted freely
}
