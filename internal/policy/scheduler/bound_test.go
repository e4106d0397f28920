package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestBounds checks the bounds for any arrival pattern. It guards against requests
// that wait longer than their class allows, against top-tier requests that are
// preempted, or refused while as many lower-tier requests could give way, against
// more grants than slots, and against overdue lower-tier requests that are passed
// by others without limit.
func TestBounds(t *testing.T) {
	classes := []string{"top", "slow", "low"}
	waits := map[validator.ClassName]time.Duration{}
	for _, c := range document().Classes {
		waits[c.Name] = time.Duration(c.Wait)
	}
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(), start
		s.Step(now, Configure{Document: document()})
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		for _, id := range []string{"a", "b"} {
			s.Step(now, Observe{engine(id, slots)})
		}
		type job struct {
			request Request
			end     time.Time
		}
		running := map[registrar.UpstreamID]map[RequestID]job{"a": {}, "b": {}}
		waiting := map[RequestID]time.Time{}
		sent := map[RequestID]Request{}
		grants := 0
		var act func([]Action)
		step := func(e Event) { act(append([]Action(nil), s.Step(now, e)...)) }
		overdue := func() bool {
			for id, since := range waiting {
				if sent[id].Class == "low" && now.Sub(since) >= s.class("low").overdue() {
					return true
				}
			}
			return false
		}
		preemptible := func() int {
			n := 0
			for _, jobs := range running {
				for id, j := range jobs {
					r := s.requests[id]
					if j.request.Class == "low" && r.attempts[0].preemptibleFor(0) {
						n++
					}
				}
			}
			return n
		}
		act = func(list []Action) {
			for _, a := range list {
				switch a := a.(type) {
				case Grant:
					r := sent[a.ID]
					assert.Assert(t, now.Sub(waiting[a.ID]) <= waits[r.Class]+TickInterval, "%s waited %v", a.ID, now.Sub(waiting[a.ID]))
					delete(waiting, a.ID)
					switch {
					case r.Class == "low":
						grants = 0
					case overdue():
						grants++
						assert.Assert(t, grants < 2*overdueSpacing, "overdue lower-tier work got nothing in %d grants", grants)
					}
					length := time.Duration(rapid.IntRange(1, 12000).Draw(t, "length")) * time.Millisecond
					running[a.Upstream][a.ID] = job{r, now.Add(length)}
					assert.Assert(t, len(running[a.Upstream]) <= slots)
				case Refuse:
					r := sent[a.ID]
					assert.Assert(t, a.Reason == Overloaded && a.RetryAfter > 0)
					assert.Assert(t, now.Sub(waiting[a.ID]) <= waits[r.Class]+TickInterval, "%s waited %v", a.ID, now.Sub(waiting[a.ID]))
					delete(waiting, a.ID)
					top := 0
					for id := range waiting {
						if sent[id].Class != "low" {
							top++
						}
					}
					assert.Assert(t, r.Class == "low" || preemptible() <= top, "%s refused while lower-tier work could give way", a.ID)
				case Preempt:
					j := running[a.Upstream][a.ID]
					assert.Equal(t, j.request.Class, validator.ClassName("low"))
					delete(running[a.Upstream], a.ID)
					step(Finished{ID: a.ID, Upstream: a.Upstream, Outcome: Preempted})
					waiting[a.ID] = now
					step(Submit{j.request})
				}
			}
		}
		ticks := rapid.IntRange(100, 1500).Draw(t, "ticks")
		heavy := rapid.SampledFrom([]uint16{1, 2, 4, 16, 64}).Draw(t, "load")
		for i := range ticks {
			now = now.Add(TickInterval)
			for _, id := range []registrar.UpstreamID{"a", "b"} {
				for _, r := range s.upstreams[id].attempts {
					if j, ok := running[id][r.request.ID]; ok && !now.Before(j.end) {
						delete(running[id], r.request.ID)
						step(Finished{ID: r.request.ID, Upstream: id, Outcome: Completed, Tokens: 10})
						break
					}
				}
			}
			if rapid.Uint16().Draw(t, "arrival")%256 < heavy {
				for range rapid.IntRange(1, 3).Draw(t, "count") {
					c := classes[rapid.IntRange(0, 2).Draw(t, "class")]
					r := ask(fmt.Sprintf("%s-%d-%d", c, i, len(sent)), c, "small").Request
					sent[r.ID], waiting[r.ID] = r, now
					step(Submit{r})
				}
			}
			step(Tick{})
			for id, since := range waiting {
				late := now.Sub(since) - time.Duration(s.class(sent[id].Class).first)
				assert.Assert(t, sent[id].Class == "low" || late <= 2*TickInterval || preemptible() == 0, "%s is late while lower-tier work could give way", id)
			}
		}
	})
}
