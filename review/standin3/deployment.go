package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// Times of the stand-in for the platform.
const (
	startLimit  = 20 * time.Second
	callTimeout = time.Second
	graceTime   = 8 * time.Second
	// internalPorts is the number of ports between the machines.
	internalPorts = 16
)

// layout says how many machines a deployment has and what their settings hold.
type layout struct {
	core, edge int
	// memory is the memory of an edge machine in MB.
	memory int
}

// smallLayout is that of the Kovač deployment with fewer edge machines.
func smallLayout() layout { return layout{core: 5, edge: 3, memory: 134} }

// deployment is a running system with the servers that it routes to.
type deployment struct {
	layout layout
	record *record
	folder string
	// program is the command of both roles in the deploy file.
	program string
	// network is the start of the addresses of the machines.
	network string
	ports   ports
	group   conc.WaitGroup
	stopped chan struct{}

	mu        sync.Mutex
	processes map[string]*process
	servers   []*server
	nextID    int
}

// ports are the same on all machines.
type ports struct{ front, ready, control, internal int }

// process is one started program.
type process struct {
	command *exec.Cmd
	exited  chan struct{}
	asked   bool
}

// newDeployment starts the machines of a deployment.
func newDeployment(l layout, target string, r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		return nil, fmt.Errorf("make a folder: %w", err)
	}
	program, err := filepath.Abs(filepath.Join(target, "amaranthnode"))
	if err != nil {
		return nil, fmt.Errorf("find the program: %w", err)
	}
	pid := os.Getpid()
	d := &deployment{
		layout: l, record: r, folder: folder, program: program,
		network: fmt.Sprintf("127.%d.%d", 90+pid/250%100, pid%250),
		stopped: make(chan struct{}), processes: map[string]*process{},
	}
	if d.ports, err = d.freePorts(); err != nil {
		d.close()
		return nil, err
	}
	for i := range l.core + l.edge {
		if err := d.start(d.host(i), true); err != nil {
			d.close()
			return nil, err
		}
	}
	return d, nil
}

// freePorts returns ports that are free on the first machine.
func (d *deployment) freePorts() (ports, error) {
	const tries = 50
	for range tries {
		first := 20000 + rand.IntN(10000)
		p := ports{front: first, ready: first + 1, control: first + 2, internal: first + 3}
		if d.allFree(first, first+3+internalPorts) {
			return p, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

// allFree reports whether the ports from first to the one before end are free.
func (d *deployment) allFree(first, end int) bool {
	for port := first; port < end; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.host(0), port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// host returns the address of a machine; those of the core come first.
func (d *deployment) host(i int) string { return fmt.Sprintf("%s.%d", d.network, i+1) }

// edges lists the addresses of the edge machines, and cores those of the core.
func (d *deployment) edges() []string {
	var all []string
	for i := range d.layout.edge {
		all = append(all, d.host(d.layout.core+i))
	}
	return all
}

func (d *deployment) cores() []string {
	var all []string
	for i := range d.layout.core {
		all = append(all, d.host(i))
	}
	return all
}

func (d *deployment) isCore(host string) bool {
	for _, h := range d.cores() {
		if h == host {
			return true
		}
	}
	return false
}

// settings returns the settings file of a machine.
func (d *deployment) settings(host string, first bool) string {
	var seeds []string
	for _, h := range d.cores()[:min(3, d.layout.core)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", h, d.ports.control))
	}
	lines := []string{
		"NodeName=" + host, "Ip=" + host, "Zone=lj-a", "Region=ljubljana", "Zones.lj-a=ljubljana",
		fmt.Sprintf("InternalPorts=%d,%d", d.ports.internal, d.ports.internal+internalPorts-1),
		"Seeds=" + strings.Join(seeds, ","), fmt.Sprintf("Bootstrap=%v", first),
		"Limits.CpuShare=0.4", "Limits.Cores=1", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0",
		"Discovery=registration", "Entry=vip", "HeartbeatMs=1200",
		"Contracts=base,drain,config,cost,retry,recover,engine,stream,tenants",
		"FaultTolerance.Machines=2", "FaultTolerance.Zones=0", "FaultTolerance.Regions=0",
		"Bounds.SeedLagS=3", "Bounds.ReuseAfterS=2", "Bounds.StabilityWindowMs=3000", "Bounds.AckMs=4000",
		"Bounds.CatchUpS=4", "Bounds.DrainMs=2000", fmt.Sprintf("Bounds.GraceS=%.0f", graceTime.Seconds()),
		"Bounds.LossSlackMs=200", "Bounds.ConfigApplyMs=2000", "Bounds.RevertSlackMs=250", "Bounds.MaxStretchMs=5000",
		"Bounds.RevokeFailClosed=true", "Bounds.RevokeMs=5000", "Bounds.RetryBudgetRatio=0.2", "Bounds.BudgetWindowS=10",
		"Bounds.BudgetExtra=58", "Bounds.RecoverS=12", "Bounds.PassMs=120", "Bounds.CacheReuseS=10", "ConfigMode=highest",
	}
	if d.isCore(host) {
		lines = append(lines, "MachineClass=core", "Serves=control", "FaultCounted=true", "Role=control",
			fmt.Sprintf("Listen.Control=%s:%d", host, d.ports.control), "Limits.MemoryMb=280", "Limits.DiskMb=128",
			"DataDir="+filepath.Join(d.folder, "data-"+host))
	} else {
		lines = append(lines, "MachineClass=edge", "Serves=edge", "FaultCounted=false", "Role=entry",
			fmt.Sprintf("Listen.Front=%s:%d", host, d.ports.front), fmt.Sprintf("Listen.Ready=%s:%d", host, d.ports.ready),
			fmt.Sprintf("Limits.MemoryMb=%d", d.layout.memory), "Limits.DiskMb=0")
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the program of a machine.
func (d *deployment) start(host string, first bool) error {
	file := filepath.Join(d.folder, host+".conf")
	if err := os.WriteFile(file, []byte(d.settings(host, first)), 0o600); err != nil {
		return fmt.Errorf("write the settings of %s: %w", host, err)
	}
	if d.isCore(host) {
		if err := os.MkdirAll(filepath.Join(d.folder, "data-"+host), 0o700); err != nil {
			return fmt.Errorf("make the data folder of %s: %w", host, err)
		}
	}
	log, err := os.OpenFile(filepath.Join(d.folder, host+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open the log of %s: %w", host, err)
	}
	defer func() { _ = log.Close() }()
	c := exec.Command(d.program, "run")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AMARANTHCART_NODE_FILE=" + file}
	c.Stdout, c.Stderr = log, log
	// The programs end with this process, whatever ends it.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start %s: %w", host, err)
	}
	p := &process{command: c, exited: make(chan struct{})}
	d.group.Go(func() {
		_ = c.Wait()
		close(p.exited)
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes[host] = p
	return nil
}

// ended returns the machines whose programs have ended by themselves.
func (d *deployment) ended() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []string
	for host, p := range d.processes {
		select {
		case <-p.exited:
			if !p.asked {
				all = append(all, host)
			}
		default:
		}
	}
	return strings.Join(all, ", ")
}

// close ends all that was started and removes the folder.
func (d *deployment) close() {
	close(d.stopped)
	d.mu.Lock()
	servers := d.servers
	for _, p := range d.processes {
		p.asked = true
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	d.mu.Unlock()
	for _, s := range servers {
		s.crash("the end of the case")
	}
	d.group.Wait()
	if os.Getenv("KEEP") != "" {
		d.record.say("logs are kept in a temporary folder")
		_, _ = fmt.Fprintln(os.Stderr, d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// sleep waits and reports whether the deployment still runs.
func (d *deployment) sleep(t time.Duration) bool {
	select {
	case <-d.stopped:
		return false
	case <-time.After(t):
		return true
	}
}

// caller calls control; it opens a connection for each call.
var caller = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: callTimeout}).DialContext}}

// control sends a call to a core machine and returns the status, or 0 without an answer.
func (d *deployment) control(host, method, path, body string) int {
	q, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", host, d.ports.control, path), strings.NewReader(body))
	if err != nil {
		return 0
	}
	q.Header.Set("Content-Type", "application/json")
	response, err := caller.Do(q)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

// configure sends a configuration until a core machine acknowledges it.
func (d *deployment) configure(body string) error {
	i := 0
	acked := retry(startLimit, func() bool {
		i++
		return d.control(d.cores()[i%d.layout.core], http.MethodPut, "/api/configuration", body) == http.StatusOK
	})
	if !acked {
		return fmt.Errorf("no configuration was acknowledged in %v", startLimit)
	}
	d.record.printf("configuration acknowledged")
	return nil
}
