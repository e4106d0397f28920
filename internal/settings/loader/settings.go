// Package loader reads the settings of amaranthd.
//
// # Usage
//
//	s, problems := loader.Load("/etc/amaranth/entry.json")
//	if len(problems) > 0 {
//		// every problem names the JSON path, the value and what is allowed
//	}
//
// Load opens nothing but the file itself: no folder, no socket. A program that
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

// Role is a part that a process plays.
type Role string

// Roles of a process.
const (
	// Entry receives callers' requests and dispatches them.
	Entry Role = "entry"
	// Control keeps the durable configuration and claims.
	Control Role = "control"
)

// StaleRule tells what an entry host does when it cannot confirm its revision.
type StaleRule string

// Rules for an unconfirmed revision.
const (
	// RefuseStale makes the host unready.
	RefuseStale StaleRule = "refuse"
	// ServeStale keeps the host serving under the last revision.
	ServeStale StaleRule = "serve"
)

// Settings are read once, when the process starts.
type Settings struct {
	// Name is unique in a deployment.
	Name   registrar.HostName   `json:"name"`
	Centre registrar.DataCentre `json:"centre"`
	// Cell groups the upstreams that announce themselves to this host.
	Cell registrar.CellName `json:"cell,omitempty"`
	// Data is the folder of all files; without it an entry host keeps its
	// last revision in memory only.
	Data  string `json:"data,omitempty"`
	Roles []Role `json:"roles"`
	// Callers is where callers' requests are received.
	Callers string `json:"callers,omitempty"`
	// Peers is where other processes and upstreams connect.
	Peers string `json:"peers"`
	// Advertise is the address of Peers as others reach it.
	Advertise string `json:"advertise,omitempty"`
	// Admin serves metrics, health and operators' requests to this host.
	Admin string `json:"admin"`
	// Seeds are the peers addresses of entry hosts that are asked first.
	Seeds []string `json:"seeds,omitempty"`
	// Region groups data centres that are near each other.
	Region summarizer.Region `json:"region,omitempty"`
	// Cells are the peers addresses of entry hosts of other cells that are
	// asked first; without any this host works with its own cell only.
	Cells []string `json:"cells,omitempty"`
	// Control lists the control hosts.
	Control []ControlHost `json:"control"`
	// Bootstrap names the control hosts that are the first voters. It only
	// counts while no group exists.
	Bootstrap []registrar.HostName `json:"bootstrap,omitempty"`
	// Voters is the number of voters that the control group grows to. With it the
	// hosts in Control are only where the group is looked for, and hosts that are
	// not listed may join it; no change is accepted before it has its voters.
	Voters int `json:"voters,omitempty"`
	// Witnesses is how many other hosts that may own a cell have to know that an
	// upstream leaves before the upstream is told that it is known.
	Witnesses int `json:"witnesses,omitempty"`
	// Leave is how long after the acknowledgement that an upstream leaves requests may
	// still be sent to it. A host that watches sends nothing while its view is older, but
	// for the way; 0 for no bound.
	Leave validator.Duration `json:"leave,omitempty"`
	// Scheduler is the role of the hosts that own cells.
	Scheduler Role `json:"scheduler,omitempty"`
	// Lease is how long an upstream's announcement counts; the same on all
	// hosts.
	Lease validator.Duration `json:"lease,omitempty"`
	// Retries bound the further attempts of each model and service.
	Retries Retries   `json:"retries,omitzero"`
	Stale   StaleRule `json:"stale,omitempty"`
	// Drain is how long a planned stop waits for open streams.
	Drain  validator.Duration `json:"drain,omitempty"`
	Limits Limits             `json:"limits,omitzero"`
	// Operators may change the configuration and drain hosts.
	Operators []Operator `json:"operators,omitempty"`
	TLS       *TLS       `json:"tls,omitempty"`
	// Log is the lowest level that is written.
	Log string `json:"log,omitempty"`
}

// ControlHost is a control host.
type ControlHost struct {
	Name registrar.HostName `json:"name"`
	// Address is the peers address as others reach it.
	Address string `json:"address"`
}

// Limits bound what one host takes from callers.
type Limits struct {
	// Body is the largest request body in bytes.
	Body int64 `json:"body,omitempty"`
	// Header is the largest request header in bytes.
	Header int `json:"header,omitempty"`
	// Connections is the largest number of open callers' connections.
	Connections int `json:"connections,omitempty"`
}

// Retries bound the further attempts of each model and service, over all hosts of
// a cell; the same on all of them.
type Retries struct {
	// Share is the part of the requests that may be tried again.
	Share float64 `json:"share,omitempty"`
	// Burst is the number of further attempts that may be saved up.
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
	// Authority signs the certificates of all processes and operators.
	Authority string `json:"authority"`
	// Callers makes the callers' listener serve TLS.
	Callers *CallersTLS `json:"callers,omitempty"`
	// Upstreams concerns upstreams and their announcements.
	Upstreams UpstreamsTLS `json:"upstreams,omitzero"`
}

// CallersTLS is the certificate that callers see.
type CallersTLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// UpstreamsTLS tells how upstreams are checked.
type UpstreamsTLS struct {
	// Authority signs the certificates of upstreams with https addresses; that
	// of the hosts when empty.
	Authority string `json:"authority,omitempty"`
	// Announce tells whether announcements need a client certificate.
	Announce AnnounceRule `json:"announce,omitempty"`
}

// AnnounceRule tells who may announce an upstream.
type AnnounceRule string

// Rules for announcements over TLS.
const (
	// RequireCertificate takes announcements from the upstream's own
	// certificate only.
	RequireCertificate AnnounceRule = "require"
	// AcceptAny also takes announcements without a certificate.
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
	DefaultLog         = "info"
	DefaultLease       = registrar.Lease
)

// Default returns settings with the default of each optional field.
func Default() *Settings {
	s := new(Settings)
	s.complete()
	return s
}

// complete fills in the defaults of absent fields.
func (s *Settings) complete() {
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

// address parses an IP address with a port.
func address(v string) (netip.AddrPort, bool) {
	a, err := netip.ParseAddrPort(v)
	return a, err == nil
}
