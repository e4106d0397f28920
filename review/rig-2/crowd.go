package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// chunkers is the number of clients that send chunked bodies, and chunkerGap the time
	// between their first connections.
	chunkers   = 4000
	chunkerGap = 300 * time.Microsecond
	// chunkGap is the time between two of its chunks, and crowdLimit the TimeoutMs of the
	// route that it uses.
	chunkGap   = 2 * time.Second
	crowdLimit = 12 * time.Second
	// crowdTime is how long they stay, and callerGap the time between two ordinary requests.
	crowdTime = 20 * time.Second
	callerGap = 100 * time.Millisecond
	// settleCrowd is the time until the crowd has gathered.
	settleCrowd = 4 * time.Second
	// retryGap is the time until a client of the crowd connects again.
	retryGap = 20 * time.Millisecond
	// answeredShare is the share of the ordinary requests that must be answered.
	answeredShare = 0.1
)

// playCrowd lets many clients send chunked bodies in very small chunks, which stop just short
// of their end and stay open, and sends ordinary requests beside them.
func playCrowd(r *record, trouble bool) (bool, error) {
	f, err := newFleet(r, 3, 1)
	if err != nil {
		return false, err
	}
	defer f.close()
	chat := route("parent-chat", "/chat/", "streaming", "zgodbar", 2)
	chat["TimeoutMs"] = crowdLimit.Milliseconds()
	check := route("delivery-check", "/check/", "idempotent", "trgovina", 2)
	if err := f.startAll(configuration(1, []any{chat, check})); err != nil {
		return false, err
	}
	s := &server{fleet: f, service: "trgovina", name: "shop", version: "v1", address: f.upstreamAddress(0), slots: 6, run: answerAtOnce}
	if err := s.start(); err != nil {
		return false, err
	}
	defer s.close()
	host := f.entryHosts()[0]
	if !wait(func() bool { return ordinary(host, "calm") == http.StatusOK }) {
		return false, fmt.Errorf("%w: no answer in calm", errCannotRun)
	}
	var over atomic.Bool
	var crowd conc.WaitGroup
	if trouble {
		for range chunkers {
			crowd.Go(func() { sendChunks(address(host, frontPort), &over) })
			time.Sleep(chunkerGap)
		}
	}
	time.Sleep(settleCrowd)
	var sent, answered atomic.Int64
	var callers conc.WaitGroup
	for end := time.Now().Add(crowdTime); time.Now().Before(end); time.Sleep(callerGap) {
		callers.Go(func() {
			sent.Add(1)
			status := ordinary(host, "beside")
			r.note("an ordinary request was answered %d", status)
			if status == http.StatusOK {
				answered.Add(1)
			}
		})
	}
	callers.Wait()
	over.Store(true)
	crowd.Wait()
	calm := wait(func() bool { return ordinary(host, "after") == http.StatusOK })
	r.conclude("%d of %d ordinary requests were answered beside %d clients; one afterwards: %v", answered.Load(), sent.Load(), chunkers, calm)
	return float64(answered.Load()) < answeredShare*float64(sent.Load()), nil
}

// sendChunks sends a body in very small chunks, which never ends, until its connection is
// closed, and begins again until over is set.
func sendChunks(target string, over *atomic.Bool) {
	for !over.Load() {
		c, err := net.DialTimeout("tcp", target, callTimeout)
		if err != nil {
			continue
		}
		sendEndlessBody(c, over)
		_ = c.Close()
		time.Sleep(retryGap)
	}
}

func sendEndlessBody(c net.Conn, over *atomic.Bool) {
	_, err := io.WriteString(c, "POST /chat/7 HTTP/1.1\r\nHost: box.example\r\nAuthorization: Token secret\r\nAttempt-Id: "+newID()+
		"\r\nDeadline-Ms: 12000\r\nTransfer-Encoding: chunked\r\n\r\n")
	for err == nil && !over.Load() {
		if _, err = io.WriteString(c, "1\r\n \r\n"); err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(chunkGap))
		if _, err = c.Read(make([]byte, 512)); errors.Is(err, os.ErrDeadlineExceeded) {
			err = nil
			continue
		}
		return
	}
}
