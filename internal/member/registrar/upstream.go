// Package registrar keeps the merged view of upstreams and entry hosts.
//
// # Usage
//
// A Registrar is a pure state machine: feed it announcements, news from other
// entry hosts and ticks through Step, and carry out the returned actions.
package registrar

import (
	"strings"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// UpstreamID is the name of an upstream, unique in a deployment.
type UpstreamID string

// HostName identifies a host of the system.
type HostName string

// DataCentre identifies a data centre.
type DataCentre string

// CellName identifies a group of upstreams that share a dispatcher.
type CellName string

// Incarnation grows each time a process starts.
type Incarnation uint64

// Load is an upstream's own report, which lags behind.
type Load struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Cache   float64 `json:"cache"`
}

// Upstream is the latest news of an upstream.
type Upstream struct {
	Name UpstreamID `json:"name"`
	// Address is host:port, or https://host:port when the upstream serves TLS.
	Address     string               `json:"address"`
	Centre      DataCentre           `json:"centre"`
	Cell        CellName             `json:"cell,omitempty"`
	Services    []validator.PoolName `json:"services,omitempty"`
	Models      []validator.PoolName `json:"models,omitempty"`
	Adapters    []string             `json:"adapters,omitempty"`
	Versions    []string             `json:"versions,omitempty"`
	Incarnation Incarnation          `json:"incarnation"`
	Sequence    uint64               `json:"sequence"`
	Slots       int                  `json:"slots"`
	Load        Load                 `json:"load"`
	Leaving     bool                 `json:"leaving,omitempty"`
}

// secureScheme begins the address of an upstream that serves TLS.
const secureScheme = "https://"

// Endpoint returns host and port of the address, and whether it serves TLS.
func (u Upstream) Endpoint() (address string, secure bool) {
	return strings.CutPrefix(u.Address, secureScheme)
}

// URL returns the base URL of the upstream.
func (u Upstream) URL() string {
	if _, secure := u.Endpoint(); secure {
		return u.Address
	}
	return "http://" + u.Address
}

// Serves reports whether the upstream runs requests of the pool.
func (u Upstream) Serves(p validator.PoolName) bool {
	for _, m := range u.Models {
		if m == p {
			return true
		}
	}
	for _, s := range u.Services {
		if s == p {
			return true
		}
	}
	return false
}
