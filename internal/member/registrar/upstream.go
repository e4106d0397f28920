// Package registrar keeps the merged view of upstreams and entry hosts.
//
// # Usage
//
// A Registrar is a pure state machine: pass announcements, updates from other entry hosts
// and ticks to Step, and carry out the returned actions.
package registrar

import (
	"strings"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// UpstreamID is the name of an upstream, unique in a deployment.
type UpstreamID string

// HostName is the name of a host, unique in a deployment.
type HostName string

// DataCentre is the name of a data centre.
type DataCentre string

// CellName is the name of a cell, a group of upstreams that share a dispatcher.
type CellName string

// Incarnation identifies one run of a process. It grows with each start.
type Incarnation uint64

// Load is the load that an upstream last reported about itself. It lags behind the actual
// load.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Cache is the used share of the KV cache, between 0 and 1.
	Cache float64 `json:"cache"`
}

// Upstream is an announcement of an upstream.
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
	// Spot is set for an upstream that its provider may reclaim.
	Spot bool `json:"spot,omitempty"`
	// Ends is the time from the announcement until the process ends, when it has said so;
	// 0 when it has not.
	Ends time.Duration `json:"ends,omitempty"`
}

// secureScheme is the prefix of the address of an upstream that serves TLS.
const secureScheme = "https://"

// Endpoint returns the address as host:port and whether the upstream serves TLS.
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

// Serves reports whether the upstream serves the pool as a model or service.
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
