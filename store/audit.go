package store

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"figwheel/result"
)

// auditPrefix is the prefix of the keys of the audit trail.
const auditPrefix = "audit/"

// AuditProblem is one reason why a change was refused.
type AuditProblem struct {
	Code result.Code
	Text string
}

// Audit is one record of the audit trail: one step of one change.
type Audit struct {
	Time         time.Time
	ChangeID     string
	Step         string
	Submitter    string
	Reason       string
	Number       uint64
	Content      string
	SitesChanged []string
	Problems     []AuditProblem
	ElapsedMs    int64 // time since the proposal, in milliseconds
	Instance     string
}

// PutAudit writes the record a. Its key consists of the time at which the change
// began, the change's id and the step, so that writing a step twice leaves one
// record.
func PutAudit(x context.Context, s Store, began time.Time, a Audit) error {
	d, err := json.Marshal(a)
	if err != nil {
		return storeError.Wrap(err)
	}
	k := fmt.Sprintf("%s%s-%s-%s-%s", auditPrefix, began.UTC().Format("2006-01-02"), strings.ReplaceAll(began.UTC().Format("150405.000"), ".", "-"), a.ChangeID, a.Step)
	_, err = s.Put(x, k, Absent, d)
	if err != nil && !objectExists(x, s, k, err) {
		return err
	}
	return nil
}

// ListAudit returns the newest n records of the last daysSearched days, counted
// back from now, oldest first. It leaves out objects that are no records, which another
// writer may have left.
func ListAudit(x context.Context, s Store, now time.Time, n int) ([]Audit, error) {
	const daysSearched = 7
	var r []Audit
	for d := 0; d < daysSearched && len(r) < n; d++ {
		l, err := s.List(x, auditPrefix+now.UTC().AddDate(0, 0, -d).Format("2006-01-02")+"-")
		if err != nil {
			return nil, err
		}
		var p []Audit
		for _, o := range l.Objects {
			var a Audit
			if o.Fault == nil && json.Unmarshal(o.Value, &a) == nil {
				p = append(p, a)
			}
		}
		r = append(p, r...)
	}
	slices.SortStableFunc(r, func(a, b Audit) int { return a.Time.Compare(b.Time) })
	return r[max(0, len(r)-n):], nil
}
