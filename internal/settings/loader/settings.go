// Package loader reads the settings of amaranthd.
//
// # Usage
//
//	s, problems := loader.Load("/etc/amaranth/entry.json")
//	if len(problems) > 0 {
//		// every problem names the JSON path, the value and what is allowed
//	}
//
// Load opens only the file itself, no folder and no socket. A program that
// makes its settings in memory, as amaranthd dev does, starts from Default and
// calls Check. docs/settings.md describes each field.
package loader

import (
	"net/netip"
	"slices"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/member/summarizer"
	"github.com/amaranthcart/amaranthcart/internal/policy/scheduler"
)

// Role is a function of a process in the deployment.
type Role string

// Roles of a process.
const (
	// Entry receives callers' requests and dispatches them.
	Entry Role = "entry"
	// Control keeps the durable configuration and claims.
	Control Role = "control"
)

// StaleRule says what an entry host does when it can't confirm that its revision of
// the configuration is the current one.
type StaleRule string

// Rules for an unconfirmed revision.
const (
	// RefuseStale makes the host unready.
	RefuseStale StaleRule = "refuse"
	// ServeStale keeps the host serving under the last revision.
	ServeStale StaleRule = "serve"
)

// Settings configure one process. They are read once, when it starts.
type Settings struct {
	// Name is the name of this host, unique in a deployment.
	Name registrar.HostName `json:"name"`
	// Centre is the data centre of this host.
	Centre registrar.DataCentre `json:"centre"`
	// Cell groups the upstreams that announce themselves to this host.
	Cell registrar.CellName `json:"cell,omitempty"`
	// Data is the folder of all files; without it an entry host keeps its
	// last revision in memory only.
	Data  string `json:"data,omitempty"`
	Roles []Role `json:"roles"`
	// Callers is the listen address for callers' requests.
	Callers string `json:"callers,omitempty"`
	// Peers is the listen address for other processes and for upstreams.
	Peers string `json:"peers"`
	// Advertise is the address at which others reach Peers.
	Advertise string `json:"advertise,omitempty"`
	// Admin is the listen address for metrics, health and operators' requests to
	// this host.
	Admin string `json:"admin"`
	// Seeds are the peers addresses of the entry hosts that are contacted first.
	Seeds []string `json:"seeds,omitempty"`
	// Region groups data centres that are near each other.
	Region summarizer.Region `json:"region,omitempty"`
	// Cells are the peers addresses of the entry hosts of other cells that are
	// contacted first; without any this host works with its own cell only.
	Cells []string `json:"cells,omitempty"`
	// Control lists the control hosts.
	Control []ControlHost `json:"control"`
	// Bootstrap names the control hosts that are the first voters. It is used
	// only while no control group exists.
	Bootstrap []registrar.HostName `json:"bootstrap,omitempty"`
	// Voters is the number of voters that the control group grows to; with 0 its
	// voters are the hosts in Bootstrap. When it is set, the hosts in Control are
	// only where the group is looked for, hosts that are not listed may join the
	// group, and no change is accepted before the group has its voters.
	Voters int `json:"voters,omitempty"`
	// Witnesses is how many other hosts that may own a cell must know that an
	// upstream is leaving before its announcement of that is acknowledged.
	Witnesses int `json:"witnesses,omitempty"`
	// Leave is how long requests may still be sent to an upstream after the
	// acknowledgement that it is leaving. A host that watches sends nothing while its
	// view is older than that, apart from the time of the transfer; 0 means no bound.
	Leave validator.Duration `json:"leave,omitempty"`
	// Scheduler is the role of the hosts that own cells.
	Scheduler Role `json:"scheduler,omitempty"`
	// Lease is how long an upstream's announcement is valid. It must be the same on
	// all hosts.
	Lease validator.Duration `json:"lease,omitempty"`
	// Retries bounds the retries of each model and service.
	Retries Retries `json:"retries,omitzero"`
	// Stale says whether this host serves under an unconfirmed revision.
	Stale StaleRule `json:"stale,omitempty"`
	// Drain is how long a planned stop waits for open streams.
	Drain  validator.Duration `json:"drain,omitempty"`
	Limits Limits             `json:"limits,omitzero"`
	// Operators may change the configuration and drain hosts.
	Operators []Operator `json:"operators,omitempty"`
	TLS       *TLS       `json:"tls,omitempty"`
	// Provider is the infrastructure provider that takes usage reports and orders for
	// upstreams; without it neither is sent.
	Provider *Provider `json:"provider,omitempty"`
	// Log is the lowest log level that is written, one of Levels.
	Log string `json:"log,omitempty"`
}

// ControlHost names one control host and its address.
type ControlHost struct {
	Name registrar.HostName `json:"name"`
	// Address is the address at which others reach the host's peers listener.
	Address string `json:"address"`
}

// Limits bounds what one host accepts from callers.
type Limits struct {
	// Body is the largest request body in bytes.
	Body int64 `json:"body,omitempty"`
	// Header is the largest request header in bytes.
	Header int `json:"header,omitempty"`
	// Connections is the largest number of open callers' connections.
	Connections int `json:"connections,omitempty"`
	// Memory is the number of bytes that the process may hold for callers and upstreams:
	// connections, heads, bodies and buffered answers.
	Memory int64 `json:"memory,omitempty"`
}

// Retries bounds the retries of each model and service over all hosts of a cell. It
// must be the same on all of them.
type Retries struct {
	// Share is the number of retries allowed per request, more than 0 up to 1.
	Share float64 `json:"share,omitempty"`
	// Burst is the number of retries that can be saved up.
	Burst int `json:"burst,omitempty"`
}

// Operator is a person or program with operator keys.
type Operator struct {
	Name string `json:"name"`
	// Keys are hex SHA-256 digests; there are none with TLS.
	Keys []string `json:"keys,omitempty"`
}

// TLS names files in PEM form. Without it nothing is encrypted. The files are
// read again when they change.
type TLS struct {
	// Certificate and Key identify this host to other processes.
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority is the certificate authority of all processes and operators.
	Authority string `json:"authority"`
	// Callers makes the callers' listener serve TLS.
	Callers *CallersTLS `json:"callers,omitempty"`
	// Upstreams configures TLS with upstreams and for their announcements.
	Upstreams UpstreamsTLS `json:"upstreams,omitzero"`
}

// CallersTLS names the certificate presented to callers, and its key.
type CallersTLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// UpstreamsTLS configures how upstreams are authenticated.
type UpstreamsTLS struct {
	// Authority is the certificate authority of upstreams with https addresses;
	// when empty, it is TLS.Authority.
	Authority string `json:"authority,omitempty"`
	// Announce says whether announcements require a client certificate.
	Announce AnnounceRule `json:"announce,omitempty"`
}

// AnnounceRule says who may announce an upstream.
type AnnounceRule string

// Rules for announcements over TLS.
const (
	// RequireCertificate accepts an announcement only with the upstream's own
	// certificate.
	RequireCertificate AnnounceRule = "require"
	// AcceptAny also accepts announcements without a certificate.
	AcceptAny AnnounceRule = "accept"
)

// Defaults of the settings.
const (
	DefaultCell = registrar.CellName("main")
	// DefaultDrain is no shorter than the longest target of a class.
	DefaultDrain       = validator.MaxTarget
	DefaultBody        = 8 << 20
	DefaultHeader      = 64 << 10
	DefaultConnections = 10_000
	// DefaultMemory is in bytes.
	DefaultMemory = 1 << 30
	DefaultLog    = "info"
	DefaultLease  = registrar.Lease
)

// Default returns settings in which each optional field has its default.
func Default() *Settings {
	s := new(Settings)
	s.setDefaults()
	return s
}

// setDefaults sets each absent optional field to its default.
func (s *Settings) setDefaults() {
	setDefault(&s.Cell, DefaultCell)
	setDefault(&s.Stale, RefuseStale)
	setDefault(&s.Scheduler, Entry)
	setDefault(&s.Retries.Share, scheduler.DefaultRetryShare)
	setDefault(&s.Retries.Burst, scheduler.DefaultRetryBurst)
	setDefault(&s.Lease, validator.Duration(DefaultLease))
	setDefault(&s.Drain, validator.Duration(DefaultDrain))
	setDefault(&s.Limits.Body, DefaultBody)
	setDefault(&s.Limits.Header, DefaultHeader)
	setDefault(&s.Limits.Connections, DefaultConnections)
	setDefault(&s.Limits.Memory, DefaultMemory)
	setDefault(&s.Log, DefaultLog)
	setDefault(&s.Advertise, s.Peers)
	if s.TLS != nil {
		setDefault(&s.TLS.Upstreams.Announce, RequireCertificate)
	}
}

func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}

// HasRole reports whether the process has the role.
func (s *Settings) HasRole(r Role) bool { return slices.Contains(s.Roles, r) }

// MayOwnCell reports whether the process may own a cell.
func (s *Settings) MayOwnCell() bool { return s.HasRole(s.Scheduler) }

// DrainTime returns how long a planned stop waits for open streams.
func (s *Settings) DrainTime() time.Duration { return time.Duration(s.Drain) }

// parseAddress parses an IP parseAddress with a port.
func parseAddress(v string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(v)
	return a, err == nil
}
