package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now()}, err
}

// at returns the time since the start of the script in seconds.
func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// line writes one line with the present time in front.
func (r *record) line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", r.at(time.Now()), fmt.Sprintf(format, a...))
}

// result writes one line to the record and to standard output.
func (r *record) result(format string, a ...any) {
	r.line(format, a...)
	fmt.Printf(format+"\n", a...)
}
