package hop

import "time"

// Stage is the part of its way at which a request ended.
type Stage string

// The stages of a request at a daemon.
const (
	StageBody   Stage = "Body"   // the daemon read the body, or waited to read it
	StageQueue  Stage = "Queue"  // it waited for a slot of the worker
	StageWorker Stage = "Worker" // it was being sent to the worker, or was at it
	StageAnswer Stage = "Answer" // its answer waited for its turn on the instance's link
	StageLink   Stage = "Link"   // it was being sent to another daemon, or was at it
)

// At returns r for a request that ended at the stage s, after the time d in it.
func (r Result) At(s Stage, d time.Duration) Result {
	r.Stage, r.InStage = s, d
	return r
}
