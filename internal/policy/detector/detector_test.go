package detector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	x     = Process{Upstream: "x", Incarnation: 1}
	y     = Process{Upstream: "y", Incarnation: 1}
	z     = Process{Upstream: "z", Incarnation: 1}
)

// TestPermits guards against attempts that could cost a third upstream, and against
// restrictions that outlive their reason.
func TestPermits(t *testing.T) {
	for name, c := range map[string]struct {
		act    func(d *Detector)
		p      Process
		hedge  bool
		permit bool
	}{
		"new":                       {func(*Detector) {}, x, false, true},
		"copy on another upstream":  {func(d *Detector) { d.Started("f", x) }, y, false, false},
		"copy on the same upstream": {func(d *Detector) { d.Started("f", x) }, x, false, true},
		"hedge":                     {func(d *Detector) { d.Started("f", x) }, y, true, true},
		"second hedge":              {func(d *Detector) { d.Started("f", x); d.Started("f", y) }, z, true, false},
		"copy after an answer": {func(d *Detector) {
			d.Started("f", x)
			d.Started("f", x)
			d.Ended(start, "f", x, Answered)
		}, y, false, true},
		"resend after the caller gave up": {func(d *Detector) {
			d.Started("f", x)
			d.Ended(start, "f", x, Withdrawn)
		}, y, false, false},
		"suspect alone": {func(d *Detector) { d.Started("f", x); d.Crashed(start, x) }, y, false, true},
		"suspect in flight": {func(d *Detector) {
			d.Started("f", x)
			d.Crashed(start, x)
			d.Started("f", y)
		}, y, false, false},
		"two suspects": {func(d *Detector) {
			d.Started("f", x)
			d.Started("g", x)
			d.Crashed(start, x)
			d.Started("g", y)
		}, y, false, false},
		"withdrawn before the crash": {func(d *Detector) {
			d.Started("f", x)
			d.Ended(start, "f", x, Withdrawn)
			d.Crashed(start, x)
			d.Started("f", y)
			d.Crashed(start, y)
		}, z, false, false},
		"crash reported twice": {func(d *Detector) {
			d.Started("f", x)
			d.Crashed(start, x)
			d.Crashed(start, x)
			d.Merge(start, Record{Fingerprint: "f", Crashes: []Process{x}, Remaining: time.Hour})
		}, y, false, true},
		"merged": {func(d *Detector) {
			d.Started("f", x)
			d.Crashed(start, x)
			d.Merge(start, Record{Fingerprint: "f", Crashes: []Process{y}, Remaining: time.Hour})
		}, z, false, false},
		"cleared": {func(d *Detector) {
			d.Started("f", x)
			d.Crashed(start, x)
			d.Started("f", y)
			d.Ended(start, "f", y, Answered)
			d.Merge(start, Record{Fingerprint: "f", Crashes: []Process{x}, Remaining: time.Hour})
			d.Started("f", y)
		}, y, false, true},
		"expired": {func(d *Detector) {
			d.Merge(start.Add(-2*time.Hour), Record{Fingerprint: "f", Crashes: []Process{x, y}, Remaining: time.Hour})
		}, z, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			d := New()
			c.act(d)
			assert.Equal(t, d.Permits(start, "f", c.p, c.hedge), c.permit)
		})
	}
}

// TestExpire guards against records and attempts that take memory for ever.
func TestExpire(t *testing.T) {
	d := New(WithRetention(time.Minute))
	d.Started("f", x)
	d.Started("g", y)
	d.Crashed(start, x)
	d.Ended(start, "g", y, Withdrawn)
	assert.DeepEqual(t, d.Records(start), []Record{{Fingerprint: "f", Crashes: []Process{x}, Remaining: time.Minute}})
	d.Expire(start.Add(time.Minute))
	assert.Equal(t, len(d.records)+len(d.flights), 0)
}
