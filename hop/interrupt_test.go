package hop

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// deadlineWriter is the http.ResponseWriter of a request whose body ends, without an
// error, at the moment at which a read of it is interrupted.
type deadlineWriter struct {
	http.ResponseWriter
	entered chan struct{} // closed when a read deadline is about to be set
	release chan struct{} // the deadline is set when this is closed
	set     bool
}

func newDeadlineWriter() *deadlineWriter {
	return &deadlineWriter{entered: make(chan struct{}), release: make(chan struct{})}
}

// SetReadDeadline implements the method for http.ResponseController.
func (w *deadlineWriter) SetReadDeadline(time.Time) error {
	close(w.entered)
	<-w.release
	w.set = true
	return nil
}

// EnableFullDuplex implements the method for http.ResponseController.
func (*deadlineWriter) EnableFullDuplex() error { return nil }

// Read returns the last byte of the body once its read is interrupted.
func (w *deadlineWriter) Read(p []byte) (int, error) {
	<-w.entered
	return copy(p, "x"), io.EOF
}

// Close implements io.Closer.
func (*deadlineWriter) Close() error { return nil }

// TestLoadSetsNoDeadlineAfterItReturns guards against a read deadline of one request that ends a later request on the connection.
func TestLoadSetsNoDeadlineAfterItReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDeadlineWriter()
		b := NewBody(w, &http.Request{ContentLength: 1, Body: w})
		x, stop := context.WithCancel(t.Context())
		loaded := make(chan error, 1)
		go func() { loaded <- b.Load(x) }()
		stop()
		synctest.Wait() // the deadline is about to be set, and the body has been read
		select {
		case err := <-loaded:
			t.Errorf("Load returned %v before the deadline was set", err)
		default:
		}
		close(w.release)
		synctest.Wait()
		if !w.set || !bytes.Equal(b.Buffered(), []byte("x")) {
			t.Errorf("deadline set %t, body %q; want true, x", w.set, b.Buffered())
		}
		if !b.Unfinished() {
			t.Error("the connection of an interrupted read takes another request")
		}
	})
}

// TestConnectionOfInterruptedReadTakesNoFurtherRequest guards against a request on a connection whose contexts net/http has cancelled, because the read that was interrupted had just ended.
func TestConnectionOfInterruptedReadTakesNoFurtherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newDeadlineWriter()
		close(w.release)
		b := NewBody(w, &http.Request{ContentLength: -1, Body: w})
		r, stop := b.newAttempt()
		read := make(chan error, 1)
		go func() {
			_, err := r.Read(make([]byte, 2))
			read <- err
		}()
		synctest.Wait()
		stop()
		if err := <-read; !errors.Is(err, io.EOF) {
			t.Errorf("the read ended with %v, want %v", err, io.EOF)
		}
		if !b.Unfinished() {
			t.Error("the connection of an interrupted read takes another request")
		}
	})
}
