package caller_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"figwheel/caller"
	"figwheel/hop/hoptest"
	"figwheel/link"
	"figwheel/upstream"
)

// earlyWorker returns the address of a worker that answers an upload before it has read it,
// without a length, and then ends the connection with end.
func earlyWorker(t *testing.T, body string, end func(c *net.TCPConn)) string {
	t.Helper()
	return hoptest.Serve(t, func(c *net.TCPConn, q *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nFigwheel-Attempt-Id: %s\r\nFigwheel-Server-Seal: s\r\n\r\n%s", q.Header.Get("Figwheel-Attempt-Id"), body)
		end(c)
	})
}

// earlyMesh returns a daemon whose only instance is the worker at the address a: its own or
// that of another daemon, with the headers of the platform, or one on the own interface.
func earlyMesh(t *testing.T, place, a string) *node {
	t.Helper()
	if place == "own interface" {
		e, _ := mesh(t, a)
		return e
	}
	e := platformMeshWithBodyLimit(t, 1<<30, a)
	if place == "own worker" {
		s := e.view.Load().Snapshot
		v, _ := s.Service("s")
		e.worker.Set(upstream.Announcement{Service: "s", Address: a, State: "Ready", Slots: 2, ID: "i-0"}, v, time.Now())
		c := link.Candidate{Name: "0", Slots: 2, SameSite: true, Peer: &link.Peer{}, Local: true}
		e.view.Store(caller.NewView(s, map[string]link.Candidates{"s": link.NewCandidates([]link.Candidate{c})}))
	}
	return e
}

// uploadTo sends an upload of size bytes to the node and returns the status of the answer
// and its body, or an error if the answer is not complete.
func uploadTo(t *testing.T, c *http.Client, n *node, id string, size int64, chunked bool) (status int, body string, err error) {
	t.Helper()
	q := request(t, n, http.MethodPost, "/alone/", io.LimitReader(zeros{}, size))
	q.Header.Set("Figwheel-Attempt-Id", id)
	if !chunked {
		q.ContentLength = size
	}
	p, err := c.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	return p.StatusCode, string(b), err
}

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// TestResetDuringUploadReachesCallerAsFailure guards against the first part of an answer
// that reaches the caller as the complete one, because its worker reset the connection while
// the upload was still being written. Beside it, an answer that ends properly at that time
// must pass.
func TestResetDuringUploadReachesCallerAsFailure(t *testing.T) {
	const uploads, size = 40, 4 << 20
	for _, place := range []string{"own worker", "other daemon", "own interface"} {
		for _, http2 := range []bool{false, true} {
			for _, chunked := range []bool{false, true} {
				for _, body := range []string{"part", strings.Repeat("part", 16<<10)} {
					t.Run(fmt.Sprintf("%s, HTTP/2 %t, chunked %t, %d bytes", place, http2, chunked, len(body)), func(t *testing.T) {
						p := new(http.Protocols)
						p.SetHTTP1(!http2)
						p.SetUnencryptedHTTP2(http2)
						c := &http.Client{Transport: &http.Transport{DisableKeepAlives: !http2, Protocols: p}}
						defer c.CloseIdleConnections()
						e := earlyMesh(t, place, earlyWorker(t, body, hoptest.ResetEarly))
						whole, failed := 0, 0
						var last string
						for i := range uploads {
							status, _, err := uploadTo(t, c, e, fmt.Sprint(i), size, chunked)
							switch {
							case err == nil && status == http.StatusOK:
								whole++
							case err == nil && status != http.StatusBadGateway:
								t.Errorf("upload %d: got the status %d, want 502 or no whole answer", i, status)
							}
						}
						if whole > 0 {
							t.Errorf("%d of %d cut answers reached the caller as whole, want 0", whole, uploads)
						}
						e = earlyMesh(t, place, earlyWorker(t, body, hoptest.CloseEarly))
						for i := range uploads {
							if status, got, err := uploadTo(t, c, e, fmt.Sprint(i), size, chunked); err != nil || status != http.StatusOK || got != body {
								last = fmt.Sprint(status, " ", len(got), " bytes: ", err)
								failed++
							}
						}
						if failed > 0 {
							t.Errorf("%d of %d whole answers did not reach the caller, want 0; the last: %s", failed, uploads, last)
						}
					})
				}
			}
		}
	}
}

// TestEarlyAnswerDoesNotEndUpload guards against an upload that stops on the way between two
// daemons because its worker began to answer before the second daemon asked for the body, and
// against an answer that therefore never ends: the worker reads on before it does.
func TestEarlyAnswerDoesNotEndUpload(t *testing.T) {
	const uploads, size = 300, 1 << 20
	worker := hoptest.Serve(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nwhole")
		_, _ = io.CopyN(io.Discard, c, size/2)
		hoptest.CloseEarly(c)
	})
	e := earlyMesh(t, "own interface", worker)
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	failed := 0
	for i := range uploads {
		if status, body, err := uploadTo(t, c, e, fmt.Sprint(i), size, false); err != nil || status != http.StatusOK || body != "whole" {
			failed++
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d whole answers did not reach the caller, want 0", failed, uploads)
	}
}
