package bencher

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// Summary holds the results of a workload under a policy over all seeds. Goodput,
// Answers, Wasted, Blocking and Top are means, Lowest and Recovery are maxima, and
// the counts are sums.
type Summary struct {
	Result
	Seeds int
}

// Measure runs every workload under every policy with every seed, with at most
// parallel runs at once.
func Measure(workloads []Workload, policies []Policy, seeds []uint64, parallel int) []Summary {
	results := make([]Result, len(workloads)*len(policies)*len(seeds))
	p := pool.New().WithMaxGoroutines(parallel)
	i := 0
	for _, w := range workloads {
		for _, y := range policies {
			for _, seed := range seeds {
				slot := &results[i]
				i++
				p.Go(func() { *slot = Run(w, y, seed) })
			}
		}
	}
	p.Wait()
	var list []Summary
	for group := range slices.Chunk(results, max(len(seeds), 1)) {
		list = append(list, summarize(group))
	}
	return list
}

func summarize(group []Result) Summary {
	s := Summary{Result: group[0], Seeds: len(group)}
	s.Classes = slices.Clone(group[0].Classes)
	for _, r := range group[1:] {
		s.add(r)
	}
	n := float64(len(group))
	s.Goodput /= n
	s.Answers /= n
	s.Wasted /= n
	s.Blocking /= time.Duration(len(group))
	s.Top /= time.Duration(len(group))
	return s
}

func (s *Summary) add(r Result) {
	s.Goodput += r.Goodput
	s.Answers += r.Answers
	s.Wasted += r.Wasted
	s.Blocking += r.Blocking
	s.Top += r.Top
	s.Lowest = max(s.Lowest, r.Lowest)
	s.Recovery = max(s.Recovery, r.Recovery)
	s.Counts.Grants += r.Counts.Grants
	s.Counts.Refusals += r.Counts.Refusals
	s.Counts.Preemptions += r.Counts.Preemptions
	s.Counts.Hedges += r.Counts.Hedges
	for i, c := range r.Classes {
		k := &s.Classes[i]
		k.Calls += c.Calls
		k.Met += c.Met
		k.Refused += c.Refused
		k.CrestCalls += c.CrestCalls
		k.CrestMet += c.CrestMet
	}
}

// topTier returns the attainment of the top tier, overall and in crests.
func (s Summary) topTier() (all, crest float64) {
	var k ClassResult
	for _, c := range s.Classes {
		if c.Tier == 0 {
			k.Calls += c.Calls
			k.Met += c.Met
			k.CrestCalls += c.CrestCalls
			k.CrestMet += c.CrestMet
		}
	}
	return k.Attainment(), k.Crest()
}

// WriteComparison writes the measured policy beside the bound as a Markdown table.
func WriteComparison(w io.Writer, list []Summary) error {
	var b strings.Builder
	b.WriteString("| workload | top tier: measured | bound | ratio | in crests: measured | bound | ratio | goodput: measured | bound | ratio |\n")
	b.WriteString("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, s := range list {
		i := slices.IndexFunc(list, func(o Summary) bool { return o.Workload == s.Workload && o.Policy == Bound })
		if s.Policy != Measured || i < 0 {
			continue
		}
		o := list[i]
		all, crest := s.topTier()
		allBound, crestBound := o.topTier()
		fmt.Fprintf(&b, "| %s | %.4f | %.4f | %.3f | %.4f | %.4f | %.3f | %.0f | %.0f | %.3f |\n", s.Workload,
			all, allBound, all/allBound, crest, crestBound, crest/crestBound, s.Goodput, o.Goodput, s.Goodput/o.Goodput)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// WriteTable writes the summaries as a Markdown table.
func WriteTable(w io.Writer, list []Summary) error {
	var b strings.Builder
	b.WriteString("| workload | policy | class: attainment (in crests) | goodput tok/s | wasted | blocking p95 | top p99 | lowest wait | recovery | refused | preempted | hedged |\n")
	b.WriteString("| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n")
	for _, s := range list {
		var classes []string
		for _, c := range s.Classes {
			text := fmt.Sprintf("%s %.3f", c.Class, c.Attainment())
			if c.CrestCalls > 0 {
				text += fmt.Sprintf(" (%.3f)", c.Crest())
			}
			classes = append(classes, text)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %.0f | %.1f%% | %s | %s | %s | %s | %d | %d | %d |\n",
			s.Workload, s.Policy, strings.Join(classes, ", "), s.Goodput, 100*s.Wasted,
			short(s.Blocking), short(s.Top), short(s.Lowest), short(s.Recovery),
			s.Counts.Refusals, s.Counts.Preemptions, s.Counts.Hedges)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func short(d time.Duration) string {
	if d >= 10*time.Second {
		return fmt.Sprintf("%.1f s", d.Seconds())
	}
	return fmt.Sprintf("%.0f ms", float64(d)/float64(time.Millisecond))
}

// WriteRow writes the summaries of one version of the program as a Markdown row:
// the top tier's attainment in crests (overall for runs under slowed engines and
// overload), its 99th percentile under slowed engines in relation to the
// undisturbed one, the goodput under overload, and the largest waste and
// lowest-tier wait of all runs.
func WriteRow(w io.Writer, name string, list []Summary) error {
	cells := []string{name}
	var wasted float64
	var lowest time.Duration
	steady := make(map[string]time.Duration)
	for _, s := range list {
		user, run, _ := strings.Cut(s.Workload, "/")
		all, crest := s.topTier()
		switch run {
		case "steady":
			steady[user] = s.Top
		case "slowed":
			cells = append(cells, fmt.Sprintf("%.3f, %s, %.2f", all, short(s.Top), float64(s.Top)/float64(max(steady[user], 1))))
		case "overload":
			cells = append(cells, fmt.Sprintf("%.3f, %.0f", all, s.Goodput))
		default:
			cells = append(cells, fmt.Sprintf("%.3f", crest))
		}
		wasted, lowest = max(wasted, s.Wasted), max(lowest, s.Lowest)
	}
	cells = append(cells, fmt.Sprintf("%.2f%%", 100*wasted), short(lowest))
	_, err := fmt.Fprintf(w, "| %s |\n", strings.Join(cells, " | "))
	return err
}
