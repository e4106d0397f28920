package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/settings/loader"
)

// dialCaller opens a caller's connection, which is closed at the end of the test.
func (d *deployment) dialCaller(entry string) *net.TCPConn {
	d.t.Helper()
	c, err := net.Dial("tcp", d.settings[entry].Callers)
	assert.NilError(d.t, err)
	d.t.Cleanup(func() { _ = c.Close() })
	return c.(*net.TCPConn)
}

// writeCall sends a call to the shop service, which counts it under the mark.
func writeCall(c net.Conn, mark string) error {
	_, err := fmt.Fprintf(c, "GET /svc/shop/check HTTP/1.1\r\nHost: shop\r\nAuthorization: Bearer %s\r\nStub-Key: %s\r\n\r\n", key, mark)
	return err
}

// readCall reads an answer to its end. A status other than 200 is an error.
func readCall(c net.Conn) error {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", r.StatusCode)
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err
}

// TestCallerLimits guards against callers that keep others from being served: callers
// that send their header slowly or never read their answer, and more connections than
// the limit. Connections above the limit wait and are served as soon as the slow ones
// are closed.
func TestCallerLimits(t *testing.T) {
	runInLane(t, &laneOfCallers)
	const connections, pad = 8, 64 << 20
	d, n := deployRelayed(t, 1, 1, func(s *loader.Settings) { s.Limits.Connections = connections })
	d.apply(document(t, "a"), 0)
	d.startRelayedStub(n, "shop-1", "--service", "shop")
	d.waitUpstreams("entry-1", 1)
	d.controlStub("shop-1", fmt.Sprintf(`{"behaviour": {"pad": %d, "times": 2}}`, pad))
	began := time.Now()
	var readers, headers []*net.TCPConn
	for i := range 2 {
		c := d.dialCaller("entry-1")
		assert.NilError(t, writeCall(c, fmt.Sprint("unread-", i)))
		readers = append(readers, c)
	}
	d.waitFor("the long answers", func() bool {
		runs := d.runs("shop-1")
		return runs["unread-0"] == 1 && runs["unread-1"] == 1
	})
	var group conc.WaitGroup
	defer group.Wait()
	for range 2 {
		c := d.dialCaller("entry-1")
		headers = append(headers, c)
		group.Go(func() {
			_, err := io.WriteString(c, "GET /svc/shop/check HTTP/1.1\r\nHost: shop\r\nSlow: ")
			for err == nil {
				time.Sleep(500 * time.Millisecond)
				_, err = io.WriteString(c, "x")
			}
		})
	}
	// The rest of the limit is in use by callers that are served at once.
	var open []*net.TCPConn
	for i := range connections - 4 {
		c := d.dialCaller("entry-1")
		assert.NilError(t, writeCall(c, fmt.Sprint("open-", i)))
		assert.NilError(t, readCall(c))
		open = append(open, c)
	}
	var mu sync.Mutex
	var waits []time.Duration
	for i := range 4 {
		c := d.dialCaller("entry-1")
		group.Go(func() {
			assert.Check(t, writeCall(c, fmt.Sprint("waiting-", i)))
			assert.Check(t, readCall(c))
			mu.Lock()
			defer mu.Unlock()
			waits = append(waits, time.Since(began))
		})
	}
	served := 0
	var longest time.Duration
	d.waitFor("the waiting connections", func() bool {
		for i, c := range open {
			asked := time.Now()
			assert.NilError(t, c.SetDeadline(asked.Add(patience)))
			assert.NilError(t, writeCall(c, fmt.Sprint("open-", i)))
			assert.NilError(t, readCall(c))
			longest = max(longest, time.Since(asked))
			served++
		}
		mu.Lock()
		defer mu.Unlock()
		return len(waits) == 4
	})
	t.Logf("%d calls on open connections, the longest took %v; the others waited %v", served, longest, waits)
	assert.Assert(t, longest < 5*time.Second, "a call on an open connection took %v", longest)
	// The receiver closes slow headers after 10 s and unread answers after 30 s.
	slices.Sort(waits)
	assert.Assert(t, waits[0] > 5*time.Second && waits[2] > 20*time.Second, "served above the limit: %v", waits)
	for _, c := range headers {
		_ = c.Close()
	}
	for _, c := range readers {
		assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		err := readCall(c)
		t.Logf("%v: an answer that was left unread ended with %v", time.Since(began), err)
		assert.Assert(t, err != nil, "it ended as if it were whole")
	}
}
