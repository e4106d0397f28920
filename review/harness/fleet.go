package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// binary is the program of the deploy file.
const binary = "target/amaranthnode"

// waitTimeout is how long a case waits for a deployment that starts.
const waitTimeout = 40 * time.Second

// operatorTimeout is how long the operator waits for a response.
const operatorTimeout = time.Second

// layout is the size of a deployment and the limits of its machines.
type layout struct {
	controls, entries int
	// tolerance is the number of control machines that may be lost at once.
	tolerance int
	// entryMemory is the memory limit of an entry machine in MB.
	entryMemory int
}

// ports are the same on all machines.
type ports struct{ front, ready, control, internal int }

// fleet is a deployment of real processes on addresses of the loopback network.
type fleet struct {
	record  *record
	layout  layout
	dir     string
	network string
	ports   ports
	// control holds the addresses of the control machines. The first three are the seeds.
	control   []string
	signals   conc.WaitGroup
	mu        sync.Mutex
	processes map[string]*exec.Cmd
}

func newFleet(r *record, l layout) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("make a folder: %w", err)
	}
	f := &fleet{record: r, layout: l, dir: dir, processes: map[string]*exec.Cmd{}}
	f.network = fmt.Sprintf("127.%d.%d", 80+os.Getpid()%100, os.Getpid()/100%250)
	for i := range l.controls {
		f.control = append(f.control, f.host(i))
	}
	for _, p := range []*int{&f.ports.front, &f.ports.ready, &f.ports.control} {
		if *p, err = freePort(f.host(0)); err != nil {
			return nil, err
		}
	}
	if f.ports.internal, err = freeRange(f.host(0)); err != nil {
		return nil, err
	}
	f.signals.Go(f.endOnSignal)
	return f, nil
}

// endOnSignal ends the processes of the deployment if this one is told to stop.
func (f *fleet) endOnSignal() {
	received := make(chan os.Signal, 1)
	signal.Notify(received, os.Interrupt, syscall.SIGTERM)
	<-received
	f.close()
	os.Exit(exitNotRun)
}

// freeRange returns the first of the internal ports, of which the programs use two.
func freeRange(ip string) (int, error) {
	for first := 20000 + os.Getpid()%5000; first < 32000; first += 16 {
		if isFree(ip, first) && isFree(ip, first+1) {
			return first, nil
		}
	}
	return 0, errors.New("no internal ports are free")
}

func isFree(ip string, port int) bool {
	l, err := net.Listen("tcp", address(ip, port))
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return 0, fmt.Errorf("find a free port: %w", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// host returns the address of a machine. Control machines come first.
func (f *fleet) host(i int) string { return fmt.Sprintf("%s.%d", f.network, i+1) }

// controls returns the control machines, the operator's list of them.
func (f *fleet) controls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.control...)
}

// replace puts an empty machine with a new address in the place of a control machine that is
// gone for good, and starts its program.
func (f *fleet) replace(i int) error {
	host := f.host(f.layout.controls + f.layout.entries + i)
	f.mu.Lock()
	f.control[i] = host
	f.mu.Unlock()
	return f.start(host, false)
}

// updateSettings writes the settings files of the running machines anew.
func (f *fleet) updateSettings(first bool) error {
	for _, h := range append(f.controls(), f.entries()...) {
		if err := f.writeSettings(h, first && f.isFirst(h)); err != nil {
			return err
		}
	}
	return nil
}

// isFirst reports whether a machine belongs to the first start of the deployment.
func (f *fleet) isFirst(host string) bool {
	for _, h := range f.hosts(0, f.layout.controls+f.layout.entries) {
		if h == host {
			return true
		}
	}
	return false
}

// writeSettings replaces the settings file of a machine in one step.
func (f *fleet) writeSettings(host string, first bool) error {
	name := f.file(host)
	if err := os.WriteFile(name+".new", []byte(f.settings(host, first)), 0o600); err != nil {
		return err
	}
	return os.Rename(name+".new", name)
}

// file returns the path of the settings file of a machine.
func (f *fleet) file(host string) string { return filepath.Join(f.dir, host+".conf") }

func (f *fleet) entries() []string {
	return f.hosts(f.layout.controls, f.layout.controls+f.layout.entries)
}

func (f *fleet) hosts(from, to int) []string {
	var all []string
	for i := from; i < to; i++ {
		all = append(all, f.host(i))
	}
	return all
}

func address(host string, port int) string { return net.JoinHostPort(host, fmt.Sprint(port)) }

// settings returns the settings file of a machine, with the bounds of the sites' sheets.
func (f *fleet) settings(host string, first bool) string {
	var seeds []string
	for _, h := range f.controls()[:3] {
		seeds = append(seeds, address(h, f.ports.control))
	}
	lines := []string{
		"NodeName=" + host, "Ip=" + host, "Zone=lj-a", "Region=ljubljana", "Zones.lj-a=ljubljana",
		fmt.Sprintf("InternalPorts=%d,%d", f.ports.internal, f.ports.internal+15), "Seeds=" + strings.Join(seeds, ","),
		fmt.Sprint("Bootstrap=", first), "HeartbeatMs=1200", fmt.Sprint("FaultTolerance.Machines=", f.layout.tolerance),
		"FaultTolerance.Zones=0", "FaultTolerance.Regions=0", "Limits.CpuShare=0.4", "Limits.Cores=1", "Limits.MaxFds=4100",
		"Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2", "Bounds.StabilityWindowMs=3000", "Bounds.AckMs=4000", "Bounds.CatchUpS=4",
		"Bounds.DrainMs=2000", "Bounds.GraceS=8", "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000", "Bounds.RevokeFailClosed=true",
		"Bounds.RevokeMs=5000", "Bounds.RetryBudgetRatio=0.2", "Bounds.BudgetWindowS=10", "Bounds.BudgetExtra=58", "ConfigMode=highest",
		"Discovery=registration", "Entry=vip",
	}
	if f.isControl(host) {
		lines = append(lines, "Role=control", "MachineClass=core", "Serves=control", "FaultCounted=true", "Limits.MemoryMb=280", "Limits.DiskMb=128",
			"Listen.Control="+address(host, f.ports.control), "DataDir="+filepath.Join(f.dir, host))
	} else {
		lines = append(lines, "Role=entry", "MachineClass=edge", "Serves=edge", "FaultCounted=false", fmt.Sprint("Limits.MemoryMb=", f.layout.entryMemory),
			"Limits.DiskMb=0", "Listen.Front="+address(host, f.ports.front), "Listen.Ready="+address(host, f.ports.ready))
	}
	return strings.Join(lines, "\n") + "\n"
}

func (f *fleet) isControl(host string) bool {
	for _, h := range f.controls() {
		if h == host {
			return true
		}
	}
	return false
}

// start starts the program of a machine.
func (f *fleet) start(host string, first bool) error {
	if err := f.writeSettings(host, first); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, host+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(binary, "run")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AMARANTHCART_NODE_FILE=" + f.file(host)}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", binary, err)
	}
	f.mu.Lock()
	f.processes[host] = c
	f.mu.Unlock()
	f.record.notef("%s started as process %d", host, c.Process.Pid)
	return nil
}

// startAll starts the machines at the same time.
func (f *fleet) startAll(first bool) error {
	for i := range f.layout.controls + f.layout.entries {
		if err := f.start(f.host(i), first); err != nil {
			return err
		}
	}
	return nil
}

// pid returns the ID of the process of a machine, or 0 if it has none.
func (f *fleet) pid(host string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.processes[host]; c != nil {
		return c.Process.Pid
	}
	return 0
}

// kill ends a process and waits for its end.
func (f *fleet) kill(host string) {
	f.mu.Lock()
	c := f.processes[host]
	delete(f.processes, host)
	f.mu.Unlock()
	if c != nil {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
}

// close ends all processes and removes their files. With REVIEW_LOGS set, the files stay.
func (f *fleet) close() {
	for _, h := range append(f.controls(), f.entries()...) {
		f.kill(h)
	}
	if os.Getenv("REVIEW_LOGS") != "" {
		f.record.notef("logs are in %s", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// operate sends an order of the operator to a control machine and returns the status, or 0
// without a response.
func (f *fleet) operate(method, host, path string, body []byte) (int, []byte) {
	q, err := http.NewRequest(method, "http://"+address(host, f.ports.control)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	q.Header.Set("Content-Type", "application/json")
	c := http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = a.Body.Close() }()
	data, _ := io.ReadAll(a.Body)
	return a.StatusCode, data
}

// submit sends a configuration to one control machine after the other until one
// acknowledges it.
func (f *fleet) submit(body []byte, within time.Duration) error {
	end := time.Now().Add(within)
	for i := 0; time.Now().Before(end); i++ {
		host := f.controls()[i%f.layout.controls]
		if status, _ := f.operate(http.MethodPut, host, "/api/configuration", body); status == http.StatusOK {
			f.record.notef("%s acknowledged the configuration", host)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("no control machine acknowledged the configuration")
}

// awaitReady waits until the entry machines say that they are ready.
func (f *fleet) awaitReady() error {
	end := time.Now().Add(waitTimeout)
	for _, h := range f.entries() {
		for !f.ready(h) {
			if time.Now().After(end) {
				return fmt.Errorf("%s does not get ready", h)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// ready asks an entry machine whether it is ready, as the platform does each second.
func (f *fleet) ready(host string) bool {
	c := http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Get("http://" + address(host, f.ports.ready) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = a.Body.Close()
	return a.StatusCode == http.StatusOK
}
