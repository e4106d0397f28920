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

// Paths of the pages.
const (
	// MetricsPath shows the measures as Prometheus text.
	MetricsPath = "/metrics"
	// JSONPath shows the measures as JSON.
	JSONPath = "/metrics.json"
	// HealthPath answers 200 when the process is ready and 503 otherwise.
	HealthPath = "/health"
)

const prefix = "amaranth_"

// quantiles are shown of every distribution.
var quantiles = []float64{0.5, 0.9, 0.99}

// classLabels are the labels of measures by class.
var classLabels = []string{"class"}

func describe(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prefix+name, help, labels, nil)
}

var (
	requestsDesc    = describe("requests_total", "Requests by class and result.", "class", "result")
	refusalsDesc    = describe("refusals_total", "Refused requests by class and reason.", "class", "reason")
	goodputDesc     = describe("goodput_tokens_total", "Tokens of requests that attained their target.", classLabels...)
	wastedDesc      = describe("wasted_tokens_total", "Tokens generated and thrown away.", classLabels...)
	attainmentDesc  = describe("attainment_ratio", "Share of requests that attained their target.", classLabels...)
	crestDesc       = describe("crest_attainment_ratio", "Attainment in the busiest 5 s of the last 10 minutes.", classLabels...)
	queueDesc       = describe("queue_seconds", "Time until a slot was granted.", classLabels...)
	blockingDesc    = describe("blocking_seconds", "Time until a slot was granted, of answers of at most 256 tokens.", classLabels...)
	firstDesc       = describe("first_token_seconds", "Time to the first token.", classLabels...)
	gapDesc         = describe("token_gap_seconds", "Mean time between tokens.", classLabels...)
	certificateDesc = describe("certificate_remaining_seconds", "Time until a certificate in use expires; negative once it has.", "use")
	totalDesc       = describe("total_seconds", "Time to the end of the answer.", classLabels...)
)

// Handler serves the three pages.
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
	v := r.registry.GetAll()
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
		v["class."+string(n)] = ratios
	}
	r.mutex.RUnlock()
	for _, k := range r.certs() {
		v["certificate."+k.Use] = map[string]any{"remaining": k.Until.Sub(now).Seconds()}
	}
	writeJSON(w, http.StatusOK, v)
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

// collector passes the measures to the Prometheus library.
type collector struct{ reporter *Reporter }

// Describe sends nothing, which makes the collector an unchecked one: its
// classes change with the configuration.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the present values.
func (c collector) Collect(out chan<- prometheus.Metric) {
	r := c.reporter
	for n, v := range r.counts {
		send(out, describe(string(n)+"_total", "Events of the process."), prometheus.CounterValue, float64(v.Count()))
	}
	for n, v := range r.gauges {
		send(out, describe(string(n), "Value of the process."), prometheus.GaugeValue, v.Value())
	}
	now := r.clock.Now()
	for _, k := range r.certs() {
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
	for _, v := range append([]scheduler.Reason{unnamed}, reasons...) {
		counter(refusalsDesc, k.refused[v], string(v))
	}
	if a, ok := k.attainment(); ok {
		send(out, attainmentDesc, prometheus.GaugeValue, a, name)
	}
	if a, ok := k.crestAttainment(now); ok {
		send(out, crestDesc, prometheus.GaugeValue, a, name)
	}
	summary(out, queueDesc, k.queue, name)
	summary(out, blockingDesc, k.blocking, name)
	summary(out, firstDesc, k.first, name)
	summary(out, gapDesc, k.gap, name)
	summary(out, totalDesc, k.total, name)
}

func send(out chan<- prometheus.Metric, d *prometheus.Desc, t prometheus.ValueType, v float64, labels ...string) {
	out <- prometheus.MustNewConstMetric(d, t, v, labels...)
}

// summary shows the reservoir's quantiles. Its sum is estimated from the mean
// of the reservoir, because go-metrics keeps no exact one.
func summary(out chan<- prometheus.Metric, d *prometheus.Desc, h metrics.Histogram, labels ...string) {
	s := h.Snapshot()
	if s.Count() == 0 {
		return
	}
	values := make(map[float64]float64, len(quantiles))
	for i, v := range s.Percentiles(quantiles) {
		values[quantiles[i]] = v / float64(time.Second)
	}
	sum := s.Mean() * float64(s.Count()) / float64(time.Second)
	out <- prometheus.MustNewConstSummary(d, uint64(s.Count()), sum, values, labels...)
}
