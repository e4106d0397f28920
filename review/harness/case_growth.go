package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
)

func init() { scenarios[2] = grownConfiguration }

const (
	// moreRoutes is the number of routes by which the configuration grows.
	moreRoutes = 11 * 350
	// changeInterval is the time between two changes, and changes their number.
	changeInterval = 330 * time.Millisecond
	changes        = 240
	// pendingChanges is the number of changes that the operator has in progress at most, and
	// changeTries how often it sends one that gets no clear answer.
	pendingChanges = 8
	changeTries    = 10
	tryPause       = 200 * time.Millisecond
	// allowedEnds is the number of times that a process may not end by itself on half of the
	// control machines.
	allowedEnds = 3
	// controlMemory is the memory limit of a control machine in MB.
	controlMemory = 280
)

// grownConfiguration changes a configuration often that has grown by many routes, while the
// platform ends processes that exceed their memory.
func grownConfiguration(r *record, trouble bool) (string, error) {
	f, err := newFleet(r, layout{controls: 5, entries: 2, tolerance: 2, entryMemory: 284})
	if err != nil {
		return "", err
	}
	defer f.close()
	if err := f.startAll(true); err != nil {
		return "", err
	}
	if err := f.submit(configuration(7, lookup, story, sale), waitTimeout); err != nil {
		return "", err
	}
	var watches []*memoryWatch
	for _, h := range f.controls() {
		w := watchMemory(f, h, controlMemory, true)
		defer w.close()
		watches = append(watches, w)
	}
	routes := []route{lookup, story, sale}
	if trouble {
		routes = append(routes, furtherRoutes(moreRoutes)...)
	}
	r.notef("%d routes, %d bytes", len(routes), len(configuration(8, routes...)))
	acknowledged := changeOften(f, r, routes)
	often := 0
	for _, w := range watches {
		r.notef("%s: peak %d MB, killed %d times for its memory", w.host, w.peak.Load()>>20, w.kills.Load())
		if w.kills.Load() >= allowedEnds {
			often++
		}
	}
	r.notef("%d of %d changes acknowledged", acknowledged, changes)
	switch {
	case 2*often >= f.layout.controls:
		return fmt.Sprintf("on %d of %d control machines, processes ended by themselves %d times or more", often, f.layout.controls, allowedEnds), nil
	case acknowledged == 0:
		return "", errors.New("no change was acknowledged")
	}
	return "", nil
}

// furtherRoutes returns routes by which the configuration grows.
func furtherRoutes(n int) []route {
	var list []route
	for i := range n {
		x := lookup
		x.Name, x.PathPrefix = fmt.Sprintf("r-%06d", i), fmt.Sprintf("/more%06d/", i)
		list = append(list, x)
	}
	return list
}

// changeOften sends a change in each interval, and returns how many were acknowledged.
func changeOften(f *fleet, r *record, routes []route) int {
	var group conc.WaitGroup
	results := make(chan bool, changes)
	slots := make(chan struct{}, pendingChanges)
	for i := range changes {
		time.Sleep(changeInterval)
		body := configuration(10+3*i, routes...)
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		group.Go(func() {
			defer func() { <-slots }()
			for try := range changeTries {
				status, _ := f.operate(http.MethodPut, f.controls()[(i+try)%f.layout.controls], "/api/configuration", body)
				if status == http.StatusOK {
					results <- true
					return
				}
				time.Sleep(tryPause)
			}
			r.notef("version %d was not acknowledged", 10+3*i)
		})
	}
	group.Wait()
	return len(results)
}
