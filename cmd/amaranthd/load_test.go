package main_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// usage is the resident memory of a process in bytes and its processor time so far.
type usage struct {
	resident int64
	cpu      time.Duration
}

func (d *deployment) usage(name string) usage {
	folder := fmt.Sprintf("/proc/%d/", d.processes[name].command.Process.Pid)
	statm, err := os.ReadFile(folder + "statm")
	assert.NilError(d.t, err)
	pages, err := strconv.ParseInt(strings.Fields(string(statm))[1], 10, 64)
	assert.NilError(d.t, err)
	stat, err := os.ReadFile(folder + "stat")
	assert.NilError(d.t, err)
	_, rest, _ := strings.Cut(string(stat), ") ")
	f := strings.Fields(rest)
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	// The kernel counts in hundredths of a second.
	return usage{pages * int64(os.Getpagesize()), time.Duration(user+system) * 10 * time.Millisecond}
}

// run sends n plain calls from concurrent callers and returns the latencies in
// ascending order.
func run(t testing.TB, address string, n int, callers int) []time.Duration {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	latencies := make([]time.Duration, n)
	var next atomic.Int64
	var group conc.WaitGroup
	for range callers {
		group.Go(func() {
			for {
				i := int(next.Add(1)) - 1
				if i >= n {
					return
				}
				q, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
				if !assert.Check(t, err) {
					return
				}
				q.Header.Set("Authorization", "Bearer "+key)
				began := time.Now()
				r, err := client.Do(q)
				if !assert.Check(t, err) {
					return
				}
				_, err = io.Copy(io.Discard, r.Body)
				assert.Check(t, err)
				assert.Check(t, r.Body.Close())
				assert.Check(t, r.StatusCode == http.StatusOK, "status %d", r.StatusCode)
				latencies[i] = time.Since(began)
			}
		})
	}
	group.Wait()
	slices.Sort(latencies)
	return latencies
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

// BenchmarkEntry measures short plain calls through an entry host in its own process:
// the latency added for one caller against direct calls to the stub, the throughput
// with 64 callers, and the entry host's memory after each quarter of the calls.
func BenchmarkEntry(b *testing.B) {
	d := deploy(b, 1, 1)
	d.apply(document(b, "a"), 0)
	d.startStub("shop-1", "--service", "shop", "--slots", "1000")
	d.waitUpstreams("entry-1", 1)
	direct := d.stubs["shop-1"] + "/check"
	routed := d.settings["entry-1"].Callers + "/svc/shop/check"
	run(b, routed, 2000, 64)
	straight := run(b, direct, 5000, 1)
	through := run(b, routed, 5000, 1)
	before := d.usage("entry-1")
	b.ResetTimer()
	began := time.Now()
	for quarter := range 4 {
		run(b, routed, max(b.N/4, 1), 64)
		b.ReportMetric(float64(d.usage("entry-1").resident)/(1<<20), fmt.Sprint("MiB-after-", quarter+1, "/4"))
	}
	elapsed := time.Since(began)
	b.StopTimer()
	b.ReportMetric(float64((quantile(through, 0.5) - quantile(straight, 0.5)).Microseconds()), "added-p50-us")
	b.ReportMetric(float64((quantile(through, 0.99) - quantile(straight, 0.99)).Microseconds()), "added-p99-us")
	b.ReportMetric(float64(quantile(through, 0.5))/float64(quantile(straight, 0.5)), "ratio-p50")
	after := d.usage("entry-1")
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "requests/s")
	b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/float64(b.N), "entry-cpu-us/request")
}
