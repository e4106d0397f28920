package bencher

import (
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

func duration(d time.Duration) validator.Duration { return validator.Duration(d) }

// bidline returns the workload of a hay auction: appraisals and advice with bursts
// when auctions open, and season summaries in the background.
func bidline() Workload {
	w := Workload{
		User: "bidline", Engines: 9, Slots: 32, Hosts: 9, Scale: 1,
		OneWay: time.Millisecond, Duration: 180 * time.Second,
		Demands: []Demand{
			{
				Class: validator.Class{Name: "appraisal", Tier: 0, First: duration(800 * time.Millisecond),
					Gap: duration(50 * time.Millisecond), Wait: duration(5 * time.Second)},
				Rate: 10, Prompt: Lengths{300, 0.5, 2000}, Output: Lengths{120, 0.7, 1200},
				Prefixes: 3, Shared: 640, Patience: 8 * time.Second,
			},
			{
				Class: validator.Class{Name: "advice", Tier: 1, First: duration(2 * time.Second),
					Gap: duration(60 * time.Millisecond), Wait: duration(10 * time.Second)},
				Rate: 6, Prompt: Lengths{150, 0.5, 1000}, Output: Lengths{80, 0.7, 800},
				Prefixes: 3, Shared: 384, Patience: 15 * time.Second,
			},
			{
				Class: validator.Class{Name: "summary", Tier: 3, Total: duration(180 * time.Second),
					Wait: duration(60 * time.Second)},
				Rate: 2, Prompt: Lengths{1500, 0.6, 8000}, Output: Lengths{1100, 0.9, 8000},
				Prefixes: 2, Shared: 256, Patience: 180 * time.Second,
			},
		},
	}
	return w
}

func openings() []Crest {
	var list []Crest
	for _, at := range []time.Duration{30, 75, 120} {
		list = append(list,
			Crest{Class: "appraisal", Start: at * time.Second, Length: 6 * time.Second, Calls: 240, Burst: true},
			Crest{Class: "advice", Start: at * time.Second, Length: 10 * time.Second, Calls: 60, Burst: true})
	}
	return list
}

// kovac returns the workload of a night-light shop: support chat and bedtime
// stories with a crest at bedtime, and letter drafts in the background.
func kovac() Workload {
	return Workload{
		User: "kovac", Engines: 9, Slots: 32, Hosts: 9, Scale: 1,
		OneWay: 1500 * time.Microsecond, Duration: 180 * time.Second,
		Demands: []Demand{
			{
				Class: validator.Class{Name: "chat", Tier: 0, First: duration(time.Second),
					Gap: duration(50 * time.Millisecond), Wait: duration(5 * time.Second)},
				Rate: 8, Prompt: Lengths{400, 0.7, 4000}, Output: Lengths{100, 0.7, 1000},
				Prefixes: 2, Shared: 512, Patience: 10 * time.Second,
			},
			{
				Class: validator.Class{Name: "story", Tier: 0, First: duration(1500 * time.Millisecond),
					Gap: duration(50 * time.Millisecond), Wait: duration(8 * time.Second)},
				Rate: 3, Prompt: Lengths{200, 0.4, 1500}, Output: Lengths{600, 0.5, 3000},
				Prefixes: 4, Shared: 384, Patience: 15 * time.Second,
			},
			{
				Class: validator.Class{Name: "letter", Tier: 3, Total: duration(180 * time.Second),
					Wait: duration(60 * time.Second)},
				Rate: 1.5, Prompt: Lengths{1000, 0.6, 8000}, Output: Lengths{900, 0.8, 6000},
				Prefixes: 2, Shared: 512, Patience: 180 * time.Second,
			},
		},
	}
}

func bedtime() []Crest {
	return []Crest{
		{Class: "story", Start: 30 * time.Second, Length: 90 * time.Second, Calls: 420},
		{Class: "chat", Start: 30 * time.Second, Length: 90 * time.Second, Calls: 450},
	}
}

// Workloads returns the workloads that are reported. For each user these are a
// steady load without and with a quarter of the engines slowed, a load with crests,
// the same with a quarter of the engines slowed and with crashes, and a steady load
// of twice the capacity.
func Workloads() []Workload {
	var list []Workload
	add := func(name string, w Workload) {
		w.Name = w.User + "/" + name
		list = append(list, w)
	}
	for _, user := range []struct {
		base   func() Workload
		crests []Crest
		double float64
	}{{bidline, openings(), 3.4}, {kovac, bedtime(), 4}} {
		w := user.base()
		add("steady", w)
		w.Slowed = w.Engines / 4
		add("slowed", w)
		w = user.base()
		w.Crests = user.crests
		add("swing", w)
		w.Slowed = w.Engines / 4
		add("swing-slowed", w)
		w = user.base()
		w.Crests = user.crests
		w.Crashes = []time.Duration{32 * time.Second, 80 * time.Second}
		add("swing-crash", w)
		w = user.base()
		w.Scale = user.double
		add("overload", w)
	}
	return list
}
