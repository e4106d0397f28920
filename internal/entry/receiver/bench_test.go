package receiver_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"
)

type benchCase struct{ name, method, path, direct, body string }

func benchCases() []benchCase {
	chat := "/v1/chat/completions"
	prompt := "quick bid advice for a lot of dry hay [[length=8]]"
	return []benchCase{
		{"stream", http.MethodPost, chat, chat, chatBody(prompt, true, "")},
		{"whole", http.MethodPost, chat, chat, chatBody(prompt, false, "")},
		{"read", http.MethodGet, "/svc/ledger/lots", "/lots", ""},
		{"sale", http.MethodPost, "/svc/ledger/sales", "/sales", "bale"},
	}
}

// latencies records latencies in microseconds, up to a minute.
type latencies struct {
	mu   sync.Mutex
	list *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{list: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (l *latencies) merge(h *hdrhistogram.Histogram) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list.Merge(h)
}

func (l *latencies) at(q float64) float64 { return float64(l.list.ValueAtQuantile(q)) }

func benchCall(client *http.Client, method, url, body string) (time.Duration, error) {
	start := time.Now()
	q, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	q.Header["Authorization"] = []string{"Bearer " + testKey}
	a, err := client.Do(q)
	if err != nil {
		return 0, err
	}
	defer func() { _ = a.Body.Close() }()
	if _, err := io.Copy(io.Discard, a.Body); err != nil {
		return 0, err
	}
	if a.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", a.StatusCode)
	}
	return time.Since(start), nil
}

// BenchmarkAdded alternates in each worker between calls to the responder and calls
// through the entry host, so that both meet the same load, and reports the latency that
// the entry host adds.
func BenchmarkAdded(b *testing.B) {
	for _, c := range benchCases() {
		b.Run(c.name, func(b *testing.B) {
			h := newHarness(b)
			h.dispatcher.recordsNothing = true
			upstream := "http://" + h.dispatcher.upstreams[0].Address
			direct, entry := newLatencies(), newLatencies()
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				near, far := newLatencies(), newLatencies()
				for p.Next() {
					d, err := benchCall(h.client, c.method, upstream+c.direct, c.body)
					if err != nil {
						b.Error(err)
						return
					}
					_ = near.list.RecordValue(d.Microseconds())
					if d, err = benchCall(h.client, c.method, h.url+c.path, c.body); err != nil {
						b.Error(err)
						return
					}
					_ = far.list.RecordValue(d.Microseconds())
				}
				direct.merge(near.list)
				entry.merge(far.list)
			})
			b.ReportMetric(direct.at(50), "direct-p50-µs")
			b.ReportMetric(entry.at(50), "entry-p50-µs")
			b.ReportMetric(direct.at(99), "direct-p99-µs")
			b.ReportMetric(entry.at(99), "entry-p99-µs")
			b.ReportMetric(entry.at(99)-direct.at(99), "added-p99-µs")
			b.ReportMetric(entry.at(50)/direct.at(50), "ratio-p50")
		})
	}
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkThroughput measures requests a second, direct and through the entry host.
// Caller and responder share the machine and the process with the entry host. The
// difference between the processor times is the entry host's share; other work on the
// machine disturbs it less than the rate.
func BenchmarkThroughput(b *testing.B) {
	for _, c := range benchCases() {
		for _, through := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/entry=%v", c.name, through), func(b *testing.B) {
				h := newHarness(b)
				h.dispatcher.recordsNothing = true
				url := "http://" + h.dispatcher.upstreams[0].Address + c.direct
				if through {
					url = h.url + c.path
				}
				b.SetParallelism(8)
				b.ResetTimer()
				before := processorTime()
				b.RunParallel(func(p *testing.PB) {
					for p.Next() {
						if _, err := benchCall(h.client, c.method, url, c.body); err != nil {
							b.Error(err)
							return
						}
					}
				})
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
				b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(b.N), "cpu-µs/op")
			})
		}
	}
}
