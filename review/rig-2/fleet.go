package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// All hosts use the same ports, each on a loopback address of its own.
const (
	frontPort    = 18227
	readyPort    = 18220
	controlPort  = 18229
	internalPort = 17340
	upstreamPort = 18080
	// memoryMB and descriptors are the limits of an edge machine of Kovač, and coreMemoryMB
	// is that of a core machine.
	memoryMB     = 134
	coreMemoryMB = 280
	descriptors  = 4100
	// graceSeconds is the longest duration of a planned stop.
	graceSeconds = 8
	// waitTimeout bounds the wait for a condition that normally takes a second.
	waitTimeout = 30 * time.Second
	callTimeout = 3 * time.Second
)

// errCannotRun is the cause of exit status 2.
var errCannotRun = errors.New("the case cannot run")

// fleet is a small deployment: control hosts and entry hosts, each a process.
type fleet struct {
	record            *record
	dir, base         string
	controls, entries int
	processes         map[string]*process
	group             conc.WaitGroup
}

// process is a running host. exited is closed when it has ended.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
}

// newFleet returns a deployment without running hosts, on a free loopback network.
func newFleet(r *record, controls, entries int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir, controls: controls, entries: entries, processes: map[string]*process{}}
	for range 20 {
		f.base = fmt.Sprintf("127.%d.%d.", 80+rand.IntN(40), 1+rand.IntN(250))
		if f.free() {
			return f, nil
		}
	}
	return nil, fmt.Errorf("%w: no free loopback network", errCannotRun)
}

// free reports whether the ports of the network are free.
func (f *fleet) free() bool {
	for _, host := range append(f.controlHosts(), f.entryHosts()...) {
		for _, port := range []int{frontPort, readyPort, controlPort, internalPort, internalPort + 1} {
			l, err := net.Listen("tcp", address(host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func address(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

func (f *fleet) hosts(first, count int) []string {
	var list []string
	for i := range count {
		list = append(list, f.base+strconv.Itoa(first+i))
	}
	return list
}

// controlHosts and entryHosts return the addresses of the hosts of a role.
func (f *fleet) controlHosts() []string { return f.hosts(1, f.controls) }
func (f *fleet) entryHosts() []string   { return f.hosts(21, f.entries) }

// upstreamAddress returns the address of the i-th stand-in server.
func (f *fleet) upstreamAddress(i int) string {
	return address(f.base+strconv.Itoa(101+i), upstreamPort)
}

// settings returns the settings file of a host, with the bounds of Kovač.
func (f *fleet) settings(host string, first bool) string {
	var seeds []string
	control := false
	for _, h := range f.controlHosts() {
		seeds = append(seeds, address(h, controlPort))
		control = control || h == host
	}
	lines := []string{
		"NodeName=" + host, "Ip=" + host, "Zone=lj-a", "Region=ljubljana", "Zones.lj-a=ljubljana",
		fmt.Sprintf("InternalPorts=%d,%d", internalPort, internalPort+15), "Seeds=" + strings.Join(seeds, ","),
		fmt.Sprint("Bootstrap=", first), "Limits.CpuShare=0.4", "Limits.Cores=1",
		fmt.Sprint("Limits.MemoryMb=", f.memory(host)), fmt.Sprint("Limits.MaxFds=", descriptors),
		"Discovery=registration", "Entry=vip", "HeartbeatMs=1200",
		"Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants", "FaultTolerance.Machines=1",
		"FaultTolerance.Zones=0", "FaultTolerance.Regions=0", "Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2",
		"Bounds.StabilityWindowMs=3000", "Bounds.AckMs=4000", "Bounds.CatchUpS=4", "Bounds.DrainMs=2000",
		fmt.Sprint("Bounds.GraceS=", graceSeconds), "Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000",
		"Bounds.RevertSlackMs=250", "Bounds.MaxStretchMs=5000", "Bounds.RevokeFailClosed=true", "Bounds.RevokeMs=5000",
		"Bounds.RetryBudgetRatio=0.2", "Bounds.BudgetWindowS=10", "Bounds.BudgetExtra=58", "Bounds.RecoverS=12",
		"Bounds.PassMs=120", "Bounds.CacheReuseS=10", "ConfigMode=highest",
	}
	if control {
		lines = append(lines, "Role=control", "MachineClass=core", "Serves=control", "FaultCounted=true", "Limits.DiskMb=128",
			"Listen.Control="+address(host, controlPort), "DataDir="+filepath.Join(f.dir, host))
	} else {
		lines = append(lines, "Role=entry", "MachineClass=edge", "Serves=edge", "FaultCounted=false", "Limits.DiskMb=0",
			"Listen.Front="+address(host, frontPort), "Listen.Ready="+address(host, readyPort))
	}
	return strings.Join(lines, "\n") + "\n"
}

// memory returns the memory limit of a host in MB.
func (f *fleet) memory(host string) int {
	if slices.Contains(f.controlHosts(), host) {
		return coreMemoryMB
	}
	return memoryMB
}

// start starts the process of a host with the command of the deploy file.
func (f *fleet) start(host string, first bool) error {
	settings := filepath.Join(f.dir, host+".conf")
	if err := os.WriteFile(settings, []byte(f.settings(host, first)), 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(f.dir, host), 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(f.logFile(host), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/amaranthnode", "run")
	command.Env = append(os.Environ(), "AMARANTHCART_NODE_FILE="+settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	p := &process{command: command, exited: make(chan struct{})}
	f.group.Go(func() {
		_ = command.Wait()
		close(p.exited)
	})
	f.processes[host] = p
	f.record.note("%s started", f.name(host))
	return nil
}

func (f *fleet) logFile(host string) string { return filepath.Join(f.dir, host+".log") }

// name returns the name of a host in the record, without its address.
func (f *fleet) name(host string) string {
	for i, h := range f.controlHosts() {
		if h == host {
			return fmt.Sprint("control-", i+1)
		}
	}
	for i, h := range f.entryHosts() {
		if h == host {
			return fmt.Sprint("entry-", i+1)
		}
	}
	return host
}

// startAll starts all hosts for the first time, and waits until the configuration has been
// stored and all entry hosts are ready.
func (f *fleet) startAll(configuration []byte) error {
	for _, host := range append(f.controlHosts(), f.entryHosts()...) {
		if err := f.start(host, true); err != nil {
			return err
		}
	}
	if !wait(func() bool { return f.configure(configuration) }) {
		return fmt.Errorf("%w: no control host stores the configuration", errCannotRun)
	}
	for _, host := range f.entryHosts() {
		if !wait(func() bool { return f.ready(host) }) {
			return fmt.Errorf("%w: %s is not ready", errCannotRun, f.name(host))
		}
	}
	f.record.note("configuration stored, entry hosts ready")
	return nil
}

// configure sends a configuration to the control hosts in turn until one acknowledges it.
func (f *fleet) configure(configuration []byte) bool {
	for _, host := range f.controlHosts() {
		if status, _ := call(http.MethodPut, "http://"+address(host, controlPort)+"/api/configuration", configuration); status == http.StatusOK {
			return true
		}
	}
	return false
}

// ready reports whether an entry host says that it is ready.
func (f *fleet) ready(host string) bool {
	status, _ := call(http.MethodGet, "http://"+address(host, readyPort)+"/api/readiness", nil)
	return status == http.StatusOK
}

// running reports whether the process of a host has not ended.
func (f *fleet) running(host string) bool {
	select {
	case <-f.processes[host].exited:
		return false
	default:
		return true
	}
}

// peak returns the largest resident size of the process of a host so far, in bytes.
func (f *fleet) peak(host string) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.processes[host].command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10, err
		}
	}
	return 0, errors.New("the status has no peak")
}

// close ends all processes and removes what they wrote. With KEEP=1 their logs are kept.
func (f *fleet) close() {
	for _, p := range f.processes {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	f.group.Wait()
	if os.Getenv("KEEP") == "1" {
		fmt.Fprintln(os.Stderr, "logs in", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// wait waits until ok returns true and reports whether it did within waitTimeout.
func wait(ok func() bool) bool {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// call sends a request of the operator, a server or the platform and returns the status and
// the body of the answer, or 0 if there is none.
func call(method, url string, body []byte) (int, string) {
	q, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = r.Body.Close() }()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error()
	}
	return r.StatusCode, string(text)
}
