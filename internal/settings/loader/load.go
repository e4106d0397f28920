package loader

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/decoder"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// Bounds of the settings; the sizes of bodies and headers are in bytes.
const (
	// MinDrain and MaxDrain bound Settings.Drain.
	MinDrain = time.Second
	MaxDrain = time.Hour

	minBody        = 1 << 10
	maxBody        = 256 << 20
	minHeader      = 4 << 10
	maxHeader      = 1 << 20
	maxConnections = 1_000_000
	// minMemory and maxMemory bound the memory for clients and upstreams, in bytes.
	minMemory = 1 << 20
	maxMemory = 1 << 40
	maxKeys   = 16
	// maxBootstrap bounds the first voters. A control group of more than five hosts
	// only gets slower.
	maxBootstrap = 5
	// maxGroup bounds the voters of a control group that grows by itself.
	maxGroup = 9

	maxBurst = 10_000
	minLease = time.Second
	minLeave = 100 * time.Millisecond
	maxLease = time.Minute
)

// Levels lists the values of the field log.
var Levels = []string{"debug", "info", "warn", "error"}

var (
	labelPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	keyHash      = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	labelAllowed  = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
	listenAllowed = `an IP address and port to listen on, such as "127.0.0.1:8080" or "0.0.0.0:8080"`
	peerAllowed   = `an IP address and port that others can connect to, such as "10.0.0.1:7070"`
)

// Load reads and checks a settings file. It returns either the settings or the list
// of problems; a file that can't be read is a problem too.
func Load(path string) (*Settings, []decoder.Problem) {
	data, err := readFile(path)
	if err != nil {
		return nil, []decoder.Problem{{Path: decoder.Root, Value: "a file that cannot be read (" + err.Error() + ")", Allowed: "a readable settings file"}}
	}
	return Decode(data)
}

// readFile reads at most decoder.MaxSize + 1 bytes, enough to notice a file that is
// too large.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("opening the settings: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(f, decoder.MaxSize+1))
	if err := errors.Join(err, f.Close()); err != nil {
		return nil, fmt.Errorf("reading the settings: %w", err)
	}
	return data, nil
}

// Decode reads and checks settings. It returns either the settings or the list of
// problems.
func Decode(data []byte) (*Settings, []decoder.Problem) {
	var (
		s Settings
		p decoder.Problems
	)
	if decoder.Decode(data, &s, &p) {
		s.setDefaults()
		check(&s, &p)
	}
	if l := p.List(); len(l) > 0 {
		return nil, l
	}
	return &s, nil
}

// Check returns the problems of settings that were made in memory.
func Check(s *Settings) []decoder.Problem {
	var p decoder.Problems
	check(s, &p)
	return p.List()
}

func check(s *Settings, p *decoder.Problems) {
	p.Check(labelPattern.MatchString(string(s.Name)), "$.name", s.Name, labelAllowed)
	p.Check(labelPattern.MatchString(string(s.Centre)), "$.centre", s.Centre, labelAllowed)
	p.Check(labelPattern.MatchString(string(s.Cell)), "$.cell", s.Cell, labelAllowed)
	checkRoles(s, p)
	checkData(s, p)
	checkListeners(s, p)
	p.Check(s.Region == "" || labelPattern.MatchString(string(s.Region)), "$.region", s.Region, labelAllowed)
	checkAddresses("$.seeds", s.Seeds, p)
	checkAddresses("$.cells", s.Cells, p)
	checkControl(s, p)
	checkBootstrap(s, p)
	rules := []StaleRule{RefuseStale, ServeStale}
	p.Check(slices.Contains(rules, s.Stale), "$.stale", s.Stale, "refuse or serve")
	lease := time.Duration(s.Lease)
	p.Check(lease >= minLease && lease <= maxLease, "$.lease", s.Lease, fmt.Sprintf("a duration from %v to %v", minLease, maxLease))
	p.Check(s.Retries.Share > 0 && s.Retries.Share <= 1, "$.retries.share", s.Retries.Share, "more than 0, up to 1")
	p.Check(s.Retries.Burst >= 1 && s.Retries.Burst <= maxBurst, "$.retries.burst", s.Retries.Burst, fmt.Sprintf("1 to %d", maxBurst))
	drain := s.DrainTime()
	p.Check(drain >= MinDrain && drain <= MaxDrain, "$.drain", s.Drain, fmt.Sprintf("a duration from %v to %v", MinDrain, MaxDrain))
	checkLimits(s.Limits, p)
	checkOperators(s, p)
	checkTLS(s, p)
	checkProvider(s.Provider, p)
	p.Check(slices.Contains(Levels, s.Log), "$.log", s.Log, "one of "+strings.Join(Levels, ", "))
}

func checkRoles(s *Settings, p *decoder.Problems) {
	p.Check(len(s.Roles) > 0, "$.roles", s.Roles, "entry, control or both")
	for i, r := range s.Roles {
		ok := (r == Entry || r == Control) && !slices.Contains(s.Roles[:i], r)
		p.Check(ok, decoder.ItemPath("$.roles", i), r, "entry or control, each at most once")
	}
}

func checkData(s *Settings, p *decoder.Problems) {
	if s.Data == "" {
		p.Check(!s.HasRole(Control), "$.data", s.Data, "a folder, required for the role control")
		return
	}
	p.Check(filepath.IsAbs(s.Data), "$.data", s.Data, "an absolute path")
}

func checkListeners(s *Settings, p *decoder.Problems) {
	p.Check(s.Scheduler == Entry || s.Scheduler == Control, "$.scheduler", s.Scheduler, "entry or control")
	// A host that owns cells as a control host need not serve callers.
	if s.HasRole(Entry) && !(s.Scheduler == Control && s.HasRole(Control)) || s.Callers != "" {
		_, ok := parseAddress(s.Callers)
		p.Check(ok, "$.callers", s.Callers, listenAllowed)
		p.Check(s.HasRole(Entry), "$.callers", s.Callers, "nothing without the role entry")
	}
	_, ok := parseAddress(s.Peers)
	p.Check(ok, "$.peers", s.Peers, listenAllowed)
	_, ok = parseAddress(s.Admin)
	p.Check(ok, "$.admin", s.Admin, listenAllowed)
	if !p.Has("$.peers") {
		p.Check(reachable(s.Advertise), "$.advertise", s.Advertise, peerAllowed+"; required when peers names no such address")
	}
	used := make(map[string]string)
	for _, l := range []struct{ path, value string }{{"$.callers", s.Callers}, {"$.peers", s.Peers}, {"$.admin", s.Admin}} {
		a, ok := parseAddress(l.value)
		if !ok || a.Port() == 0 {
			continue
		}
		if first, taken := used[l.value]; taken {
			p.Add(l.path, decoder.FormatValue(l.value), "an address that is not used at "+first)
		}
		used[l.value] = l.path
	}
}

// reachable reports whether the text is an IP address and port that other hosts can
// connect to.
func reachable(v string) bool {
	a, ok := parseAddress(v)
	return ok && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

func checkAddresses(path string, list []string, p *decoder.Problems) {
	for i, v := range list {
		at := decoder.ItemPath(path, i)
		p.Check(reachable(v), at, v, peerAllowed)
		p.Check(!slices.Contains(list[:i], v), at, v, "each address once")
	}
}

func checkControl(s *Settings, p *decoder.Problems) {
	p.Check(len(s.Control) > 0, "$.control", s.Control, "the control hosts")
	names := make(map[registrar.HostName]string)
	addresses := make(map[string]string)
	for i, m := range s.Control {
		at := decoder.ItemPath("$.control", i)
		p.Check(labelPattern.MatchString(string(m.Name)), at+".name", m.Name, labelAllowed)
		p.Check(reachable(m.Address), at+".address", m.Address, peerAllowed)
		if first, ok := names[m.Name]; ok {
			p.Add(at+".name", decoder.FormatValue(m.Name), "a name that is not used at "+first)
		}
		if first, ok := addresses[m.Address]; ok {
			p.Add(at+".address", decoder.FormatValue(m.Address), "an address that is not used at "+first)
		}
		names[m.Name], addresses[m.Address] = at+".name", at+".address"
		if m.Name == s.Name && s.HasRole(Control) && reachable(s.Advertise) {
			p.Check(m.Address == s.Advertise, at+".address", m.Address, "this host's own address, "+s.Advertise)
		}
	}
	leave := time.Duration(s.Leave)
	p.Check(leave == 0 || leave >= minLeave && leave <= maxLease, "$.leave", s.Leave, fmt.Sprintf("0 (no bound) or a duration from %v to %v", minLeave, maxLease))
	p.Check(s.Witnesses >= 0 && s.Witnesses < maxGroup, "$.witnesses", s.Witnesses, fmt.Sprintf("0 to %d", maxGroup-1))
	p.Check(s.Voters >= 0 && s.Voters <= maxGroup, "$.voters", s.Voters, fmt.Sprintf("0 (the hosts in bootstrap) to %d", maxGroup))
	if _, ok := names[s.Name]; !ok && s.HasRole(Control) && s.Voters == 0 {
		p.Add("$.control", fmt.Sprintf("no entry named %q", s.Name), "an entry for this host, because it has the role control")
	}
}

func checkBootstrap(s *Settings, p *decoder.Problems) {
	n := len(s.Bootstrap)
	odd := n%2 == 1 || s.Voters > 0
	p.Check(n == 0 || odd && n <= maxBootstrap, "$.bootstrap", n, "the names of 1, 3 or 5 control hosts")
	for i, name := range s.Bootstrap {
		at := decoder.ItemPath("$.bootstrap", i)
		listed := slices.ContainsFunc(s.Control, func(m ControlHost) bool { return m.Name == name })
		p.Check(listed, at, name, "the name of a host in $.control")
		p.Check(!slices.Contains(s.Bootstrap[:i], name), at, name, "each name once")
	}
}

func checkLimits(l Limits, p *decoder.Problems) {
	p.Check(l.Body >= minBody && l.Body <= maxBody, "$.limits.body", l.Body, fmt.Sprintf("%d to %d bytes", minBody, maxBody))
	p.Check(l.Header >= minHeader && l.Header <= maxHeader, "$.limits.header", l.Header, fmt.Sprintf("%d to %d bytes", minHeader, maxHeader))
	p.Check(l.Connections >= 1 && l.Connections <= maxConnections, "$.limits.connections", l.Connections, fmt.Sprintf("1 to %d", maxConnections))
	p.Check(l.Memory >= minMemory && l.Memory <= maxMemory, "$.limits.memory", l.Memory, fmt.Sprintf("%d to %d bytes", minMemory, maxMemory))
}

func checkOperators(s *Settings, p *decoder.Problems) {
	names := make(map[string]string)
	keys := make(map[string]string)
	for i, o := range s.Operators {
		at := decoder.ItemPath("$.operators", i)
		p.Check(labelPattern.MatchString(o.Name), at+".name", o.Name, labelAllowed)
		if first, ok := names[o.Name]; ok {
			p.Add(at+".name", decoder.FormatValue(o.Name), "a name that is not used at "+first)
		}
		names[o.Name] = at + ".name"
		if s.TLS != nil {
			p.Check(len(o.Keys) == 0, at+".keys", len(o.Keys), "no keys, because with tls operators are known by their certificates")
			continue
		}
		p.Check(len(o.Keys) > 0 && len(o.Keys) <= maxKeys, at+".keys", len(o.Keys), fmt.Sprintf("1 to %d keys", maxKeys))
		for j, k := range o.Keys {
			path := decoder.ItemPath(at+".keys", j)
			p.Check(keyHash.MatchString(k), path, k, "the SHA-256 digest of a key as 64 lower-case hex digits")
			if first, ok := keys[k]; ok {
				p.Add(path, decoder.FormatValue(k), "a digest that is not used at "+first)
			}
			keys[k] = path
		}
	}
}

func checkTLS(s *Settings, p *decoder.Problems) {
	t := s.TLS
	if t == nil {
		return
	}
	file := func(path, v string) { p.Check(filepath.IsAbs(v), path, v, "the absolute path of a file in PEM form") }
	file("$.tls.certificate", t.Certificate)
	file("$.tls.key", t.Key)
	file("$.tls.authority", t.Authority)
	if t.Callers != nil {
		p.Check(s.HasRole(Entry), "$.tls.callers", t.Callers, "nothing without the role entry")
		file("$.tls.callers.certificate", t.Callers.Certificate)
		file("$.tls.callers.key", t.Callers.Key)
	}
	if t.Upstreams.Authority != "" {
		file("$.tls.upstreams.authority", t.Upstreams.Authority)
	}
	rules := []AnnounceRule{RequireCertificate, AcceptAny}
	p.Check(slices.Contains(rules, t.Upstreams.Announce), "$.tls.upstreams.announce", t.Upstreams.Announce, "require or accept")
}
