package reporter

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"

	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// MetricsPath, JSONPath and HealthPath are the paths of the pages.
const (
	// MetricsPath serves the metrics as Prometheus text.
	MetricsPath = "/metrics"
	// JSONPath serves the metrics as JSON.
	JSONPath = "/metrics.json"
	// HealthPath answers 200 when the process is ready and 503 otherwise.
	HealthPath = "/health"
)

const prefix = "amaranth_"

// quantiles are those shown for every distribution.
var quantiles = []float64{0.5, 0.9, 0.99}

// classLabels are the labels of metrics by class.
var classLabels = []string{"class"}

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prefix+name, help, labels, nil)
}

var (
	requestsDesc    = newDesc("requests_total", "Requests by class and result.", "class", "result")
	refusalsDesc    = newDesc("refusals_total", "Refused requests by class and reason.", "class", "reason")
	goodputDesc     = newDesc("goodput_tokens_total", "Tokens of requests that attained their target.", classLabels...)
	wastedDesc      = newDesc("wasted_tokens_total", "Tokens generated and thrown away.", classLabels...)
	attainmentDesc  = newDesc("attainment_ratio", "Share of requests that attained their target.", classLabels...)
	crestDesc       = newDesc("crest_attainment_ratio", "Attainment in the busiest 5 s of the last 10 minutes.", classLabels...)
	queueDesc       = newDesc("queue_seconds", "Time until a slot was granted.", classLabels...)
	blockingDesc    = newDesc("blocking_seconds", "Time until a slot was granted, of answers of at most 256 tokens.", classLabels...)
	firstDesc       = newDesc("first_token_seconds", "Time to the first token.", classLabels...)
	gapDesc         = newDesc("token_gap_seconds", "Mean time between tokens.", classLabels...)
	certificateDesc = newDesc("certificate_remaining_seconds", "Time until a certificate in use expires; negative once it has.", "use")
	totalDesc       = newDesc("total_seconds", "Time to the end of the answer.", classLabels...)
)

// Handler returns a handler of the three pages.
func (r *Reporter) Handler() http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{r}, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	router := httprouter.New()
	router.Handler(http.MethodGet, MetricsPath, promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	router.HandlerFunc(http.MethodGet, JSONPath, r.serveJSON)
	router.HandlerFunc(http.MethodGet, HealthPath, r.serveHealth)
	return router
}

func (r *Reporter) serveJSON(w http.ResponseWriter, _ *http.Request) {
	page := r.registry.GetAll()
	now := r.clock.Now()
	r.mutex.RLock()
	for n, k := range r.classes {
		ratios := make(map[string]any)
		if a, ok := k.attainment(); ok {
			ratios["attainment"] = a
		}
		if a, ok := k.crestAttainment(now); ok {
			ratios["crest"] = a
		}
		page["class."+string(n)] = ratios
	}
	r.mutex.RUnlock()
	for _, k := range r.certificates() {
		page["certificate."+k.Use] = map[string]any{"remaining": k.Until.Sub(now).Seconds()}
	}
	writeJSON(w, http.StatusOK, page)
}

func (r *Reporter) serveHealth(w http.ResponseWriter, _ *http.Request) {
	ready, reason := r.ready()
	if !ready {
		writeJSON(w, http.StatusServiceUnavailable, health{Reason: reason})
		return
	}
	writeJSON(w, http.StatusOK, health{Ready: true})
}

// health is the body of the health page.
type health struct {
	Ready  bool   `json:"ready"`
	Reason string `json:"reason,omitempty"`
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller is gone when this fails; there is no one to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// collector passes the metrics to the Prometheus library.
type collector struct{ reporter *Reporter }

// Describe sends nothing, which makes the collector an unchecked one: its
// classes change with the configuration.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current values.
func (c collector) Collect(out chan<- prometheus.Metric) {
	r := c.reporter
	for n, v := range r.counts {
		send(out, newDesc(string(n)+"_total", "Events of the process."), prometheus.CounterValue, float64(v.Count()))
	}
	for n, v := range r.gauges {
		send(out, newDesc(string(n), "Value of the process."), prometheus.GaugeValue, v.Value())
	}
	now := r.clock.Now()
	for _, k := range r.certificates() {
		send(out, certificateDesc, prometheus.GaugeValue, k.Until.Sub(now).Seconds(), k.Use)
	}
	r.mutex.RLock()
	defer r.mutex.RUnlock()
	for _, k := range r.classes {
		collectClass(out, k, now)
	}
}

func collectClass(out chan<- prometheus.Metric, k *class, now time.Time) {
	name := string(k.name)
	counter := func(d *prometheus.Desc, c metrics.Counter, labels ...string) {
		send(out, d, prometheus.CounterValue, float64(c.Count()), append([]string{name}, labels...)...)
	}
	counter(requestsDesc, k.attained, "attained")
	counter(requestsDesc, k.missed, "missed")
	counter(requestsDesc, k.abandoned, "abandoned")
	counter(goodputDesc, k.goodput)
	counter(wastedDesc, k.wasted)
	for _, v := range append([]scheduler.Reason{otherReason}, reasons...) {
		counter(refusalsDesc, k.refused[v], string(v))
	}
	if a, ok := k.attainment(); ok {
		send(out, attainmentDesc, prometheus.GaugeValue, a, name)
	}
	if a, ok := k.crestAttainment(now); ok {
		send(out, crestDesc, prometheus.GaugeValue, a, name)
	}
	sendSummary(out, queueDesc, k.queue, name)
	sendSummary(out, blockingDesc, k.blocking, name)
	sendSummary(out, firstDesc, k.first, name)
	sendSummary(out, gapDesc, k.gap, name)
	sendSummary(out, totalDesc, k.total, name)
}

func send(out chan<- prometheus.Metric, d *prometheus.Desc, t prometheus.ValueType, v float64, labels ...string) {
	out <- prometheus.MustNewConstMetric(d, t, v, labels...)
}

// sendSummary sends the reservoir's quantiles in seconds, and nothing for an empty
// reservoir. The sum is estimated from the mean of the reservoir, because go-metrics keeps
// no exact one.
func sendSummary(out chan<- prometheus.Metric, d *prometheus.Desc, h metrics.Histogram, labels ...string) {
	snapshot := h.Snapshot()
	if snapshot.Count() == 0 {
		return
	}
	values := make(map[float64]float64, len(quantiles))
	for i, v := range snapshot.Percentiles(quantiles) {
		values[quantiles[i]] = v / float64(time.Second)
	}
	sum := snapshot.Mean() * float64(snapshot.Count()) / float64(time.Second)
	out <- prometheus.MustNewConstSummary(d, uint64(snapshot.Count()), sum, values, labels...)
}
