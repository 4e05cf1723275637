package daemon

import (
	"io"
	"net"
	"testing"
	"time"

	"figwheel/upstream/upstreamtest"
)

// TestForwardedUploadLeavesQueueWithSender guards against an upload that waits for a slot after the daemon that forwards it has given it up.
func TestForwardedUploadLeavesQueueWithSender(t *testing.T) {
	t.Parallel()
	d := newDrainFleet(t, func(k *upstreamtest.Worker) { k.Work = 5 * time.Second })
	n := d.daemons[0]
	const head = " / HTTP/1.1\r\nHost: h.example\r\nFigwheel-Service: s\r\nFigwheel-Deadline-Ms: 60000\r\n"
	send := func(s string) net.Conn {
		c, err := net.Dial("tcp", n.Settings().LinkAddress)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := io.WriteString(c, s); err != nil {
			t.Fatal(err)
		}
		return c
	}
	const slots = 9
	for range slots {
		send("GET" + head + "\r\n")
	}
	d.wait("the slots are in use", func() bool { return n.worker.InFlight() == slots })
	c := send("POST" + head + "Transfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n")
	d.wait("the upload waits", func() bool { return n.worker.InFlight() == slots+1 })
	_ = c.Close()
	left := time.Now()
	d.wait("the upload is given up", func() bool { return n.worker.InFlight() <= slots })
	if took := time.Since(left); took > 2*time.Second {
		t.Errorf("it was given up %s after its sender left", took)
	}
}
