package reporter_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/ops/reporter"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

var document = &validator.Document{Classes: []validator.Class{
	{Name: "chat", First: validator.Duration(300 * time.Millisecond), Gap: validator.Duration(40 * time.Millisecond)},
	{Name: "letter", Tier: 3},
}}

// matchingLines returns the lines of a page that contain any of the words, without comments.
func matchingLines(t *testing.T, r *reporter.Reporter, path string, words ...string) string {
	t.Helper()
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	body, err := io.ReadAll(w.Body)
	assert.NilError(t, err)
	var lines []string
	for l := range strings.Lines(string(body)) {
		for _, s := range words {
			if strings.Contains(l, s) && !strings.HasPrefix(l, "#") {
				lines = append(lines, l)
				break
			}
		}
	}
	return strings.Join(lines, "")
}

// TestMeasures guards against requests that are counted as attained although
// they were late, broken or refused, and against metrics that are missing
// from the Prometheus text.
func TestMeasures(t *testing.T) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	r := reporter.New(reporter.WithClock(clockwork.NewFakeClockAt(now)))
	r.Configure(document)
	for _, v := range []reporter.Result{
		{Completed: true, First: 300 * time.Millisecond, Gap: 40 * time.Millisecond, Queue: 20 * time.Millisecond, Tokens: 100},
		{Completed: true, First: 301 * time.Millisecond, Tokens: 7},
		{Completed: true, First: 100 * time.Millisecond, Gap: 41 * time.Millisecond, Tokens: 7},
		{First: 100 * time.Millisecond, Tokens: 7, Wasted: 9},
		{Abandoned: true, Wasted: 2},
		{Refused: scheduler.Overloaded},
		{Refused: "something else"},
	} {
		v.Class, v.Arrived = "chat", now.Add(-time.Second)
		r.ReportRequest(v)
	}
	r.Count(reporter.Hedges, 3)
	r.Set(reporter.RevisionInForce, 12)
	got := matchingLines(t, r, reporter.MetricsPath, `class="chat"`, "amaranth_hedges", "amaranth_revision")
	want := `amaranth_attainment_ratio{class="chat"} 0.16666666666666666
amaranth_blocking_seconds{class="chat",quantile="0.5"} 0
amaranth_blocking_seconds{class="chat",quantile="0.9"} 0.02
amaranth_blocking_seconds{class="chat",quantile="0.99"} 0.02
amaranth_blocking_seconds_sum{class="chat"} 0.02
amaranth_blocking_seconds_count{class="chat"} 4
amaranth_crest_attainment_ratio{class="chat"} 0.16666666666666666
amaranth_first_token_seconds{class="chat",quantile="0.5"} 0.2
amaranth_first_token_seconds{class="chat",quantile="0.9"} 0.301
amaranth_first_token_seconds{class="chat",quantile="0.99"} 0.301
amaranth_first_token_seconds_sum{class="chat"} 0.801
amaranth_first_token_seconds_count{class="chat"} 4
amaranth_goodput_tokens_total{class="chat"} 100
amaranth_hedges_total 3
amaranth_queue_seconds{class="chat",quantile="0.5"} 0
amaranth_queue_seconds{class="chat",quantile="0.9"} 0.02
amaranth_queue_seconds{class="chat",quantile="0.99"} 0.02
amaranth_queue_seconds_sum{class="chat"} 0.02
amaranth_queue_seconds_count{class="chat"} 4
amaranth_refusals_total{class="chat",reason="limited"} 0
amaranth_refusals_total{class="chat",reason="other"} 1
amaranth_refusals_total{class="chat",reason="overloaded"} 1
amaranth_refusals_total{class="chat",reason="poisonous"} 0
amaranth_refusals_total{class="chat",reason="poisonous_part"} 0
amaranth_refusals_total{class="chat",reason="retries"} 0
amaranth_refusals_total{class="chat",reason="unavailable"} 0
amaranth_requests_total{class="chat",result="abandoned"} 1
amaranth_requests_total{class="chat",result="attained"} 1
amaranth_requests_total{class="chat",result="missed"} 5
amaranth_revision 12
amaranth_token_gap_seconds{class="chat",quantile="0.5"} 0.0405
amaranth_token_gap_seconds{class="chat",quantile="0.9"} 0.041
amaranth_token_gap_seconds{class="chat",quantile="0.99"} 0.041
amaranth_token_gap_seconds_sum{class="chat"} 0.081
amaranth_token_gap_seconds_count{class="chat"} 2
amaranth_total_seconds{class="chat",quantile="0.5"} 0
amaranth_total_seconds{class="chat",quantile="0.9"} 0
amaranth_total_seconds{class="chat",quantile="0.99"} 0
amaranth_total_seconds_sum{class="chat"} 0
amaranth_total_seconds_count{class="chat"} 4
amaranth_wasted_tokens_total{class="chat"} 11
`
	assert.Equal(t, got, want)
}

// TestCrest guards against an attainment at the peak that is hidden by quiet
// minutes or that stays after the history has passed.
func TestCrest(t *testing.T) {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC))
	r := reporter.New(reporter.WithClock(clock))
	r.Configure(document)
	// Ten minutes of one good request a second, with a burst of 50 requests
	// over 5 s of which 40 are good.
	for s := range 600 {
		clock.Advance(time.Second)
		r.ReportRequest(reporter.Result{Class: "letter", Arrived: clock.Now(), Completed: true})
		if s < 100 || s >= 105 {
			continue
		}
		for i := range 9 {
			r.ReportRequest(reporter.Result{Class: "letter", Arrived: clock.Now(), Completed: i >= 2})
		}
	}
	const name = `amaranth_crest_attainment_ratio{class="letter"}`
	assert.Equal(t, matchingLines(t, r, reporter.MetricsPath, name), name+" 0.8\n")
	clock.Advance(200 * time.Second)
	assert.Equal(t, matchingLines(t, r, reporter.MetricsPath, name), name+" 1\n")
	clock.Advance(reporter.CrestHistory)
	assert.Equal(t, matchingLines(t, r, reporter.MetricsPath, name), "")
}

// TestClasses guards against series that grow without bound when callers name
// unknown classes or when configurations rename classes.
func TestClasses(t *testing.T) {
	r := reporter.New()
	count := func() int { return strings.Count(matchingLines(t, r, reporter.MetricsPath, "class="), "\n") }
	empty := count()
	for i := range 100 {
		name := validator.ClassName(fmt.Sprint("c", i))
		r.Configure(&validator.Document{Classes: []validator.Class{{Name: name}}})
		r.ReportRequest(reporter.Result{Class: name + "x", Refused: scheduler.OverLimit})
	}
	assert.Assert(t, count() < 3*empty, "%d series, %d when empty", count(), empty)
	assert.Equal(t, matchingLines(t, r, reporter.MetricsPath, `result="missed"`), `amaranth_requests_total{class="c99",result="missed"} 0
amaranth_requests_total{class="other",result="missed"} 100
`)
	assert.Assert(t, !strings.Contains(matchingLines(t, r, reporter.JSONPath, "class"), "c98"))
}

// TestHealth guards against a load balancer that sends callers to a host that is
// not ready.
func TestHealth(t *testing.T) {
	r := reporter.New(reporter.WithReady(func() (bool, string) { return false, "no confirmed revision" }))
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, reporter.HealthPath, nil))
	assert.Equal(t, w.Code, http.StatusServiceUnavailable)
	assert.Equal(t, w.Body.String(), `{"ready":false,"reason":"no confirmed revision"}`+"\n")
}

// TestLogger guards against messages below the level, and messages without the name of
// their part.
func TestLogger(t *testing.T) {
	var b bytes.Buffer
	l, err := reporter.NewLogger("warn", zapcore.AddSync(&b))
	assert.NilError(t, err)
	l.Named("follower").Info("hidden")
	l.Named("follower").Warn("revision is not confirmed")
	assert.Assert(t, strings.HasSuffix(b.String(), `"part":"follower","message":"revision is not confirmed"}`+"\n"), b.String())
	_, err = reporter.NewLogger("loud", zapcore.AddSync(&b))
	assert.ErrorContains(t, err, "loud")
}

// BenchmarkReportRequest measures what one request costs when all cores report
// on the same class.
func BenchmarkReportRequest(b *testing.B) {
	r := reporter.New()
	r.Configure(document)
	v := reporter.Result{Class: "chat", Arrived: time.Now(), Completed: true, First: time.Second, Gap: time.Second, Tokens: 9}
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			r.ReportRequest(v)
		}
	})
}

// TestCertificates guards against a metric that hides an expired certificate.
func TestCertificates(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := reporter.New(reporter.WithClock(clock), reporter.WithCertificates(func() []reporter.Certificate {
		return []reporter.Certificate{{Use: "hosts", Until: clock.Now().Add(-time.Minute)}, {Use: "callers", Until: clock.Now().Add(time.Hour)}}
	}))
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, reporter.MetricsPath, nil))
	for _, line := range []string{`remaining_seconds{use="hosts"} -60`, `remaining_seconds{use="callers"} 3600`} {
		assert.Assert(t, strings.Contains(w.Body.String(), line), "%s", w.Body.String())
	}
}
