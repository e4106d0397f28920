// Package inspector serves operators' requests to one entry host as JSON over
// HTTP on the admin address.
//
// # Usage
//
//	mux.Handle("/admin/", inspector.New(source, guardian.New(settings.Operators)))
//
// GET /admin/upstreams lists the upstreams that the host knows, GET
// /admin/explain?class=&organisation=&pool= tells what would happen to a
// request, and POST /admin/drain starts a planned stop. Only the last one
// requires an operator. Errors are objects with the member error.
package inspector

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/ops/guardian"
)

// UpstreamsPath, DrainPath and ExplainPath are the paths of the requests.
const (
	UpstreamsPath = "/admin/upstreams"
	DrainPath     = "/admin/drain"
	ExplainPath   = "/admin/explain"
)

// Upstream is one upstream as the host sees it.
type Upstream struct {
	registrar.Upstream
	// Remaining is the remaining time of the lease.
	Remaining validator.Duration `json:"remaining"`
	// Used counts the slots in use in the cell, as far as the host knows.
	Used int `json:"used"`
	// State is live or leaving.
	State string `json:"state"`
}

// Upstreams is the answer to GET /admin/upstreams.
type Upstreams struct {
	Host      registrar.HostName `json:"host"`
	Upstreams []Upstream         `json:"upstreams"`
}

// Drain is the answer to POST /admin/drain.
type Drain struct {
	Host registrar.HostName `json:"host"`
	// Open counts callers' requests that still run.
	Open int `json:"open"`
	// Repeated is set when the planned stop had begun before.
	Repeated bool `json:"repeated"`
}

// Query selects what to explain. Class may be empty, which means the class of
// the pool.
type Query struct {
	Class        validator.ClassName
	Organisation validator.OrganisationName
	Pool         validator.PoolName
}

// Explanation describes what would happen to a request that arrives now.
type Explanation struct {
	Host         registrar.HostName         `json:"host"`
	Revision     uint64                     `json:"revision"`
	Class        validator.ClassName        `json:"class"`
	Tier         validator.Tier             `json:"tier"`
	Organisation validator.OrganisationName `json:"organisation"`
	Pool         validator.PoolName         `json:"pool"`
	Cell         registrar.CellName         `json:"cell"`
	// Owner is the host that dispatches the requests of the cell; it is empty when the cell
	// has no owner.
	Owner registrar.HostName `json:"owner"`
	// Decision is grant, queue or refuse.
	Decision string `json:"decision"`
	// Reason explains the decision in a sentence.
	Reason string `json:"reason"`
	// Retry is the time after which to try again, when the decision is refuse.
	Retry validator.Duration `json:"retry,omitempty"`
	// Ahead counts the queued requests that would run first.
	Ahead      int         `json:"ahead"`
	Candidates []Candidate `json:"candidates"`
}

// Candidate is an upstream of the pool.
type Candidate struct {
	Upstream registrar.UpstreamID `json:"upstream"`
	Usable   bool                 `json:"usable"`
	// Reason explains why the upstream is usable or not.
	Reason string `json:"reason"`
}

// NotFoundError reports that a name in a query is not in the configuration.
type NotFoundError struct{ Kind, Name string }

// Error names what is missing.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no %s named %q in the revision in force; amaranthctl get prints the configuration", e.Kind, e.Name)
}

// Source is the entry host that answers the requests.
type Source interface {
	// Upstreams lists the upstreams that the host knows.
	Upstreams(ctx context.Context) (Upstreams, error)
	// Explain returns what would happen to a request, or a *NotFoundError for a name that is
	// not configured.
	Explain(ctx context.Context, q Query) (Explanation, error)
	// Drain starts a planned stop for the named operator and returns at once.
	Drain(ctx context.Context, operator string) (Drain, error)
}

// Inspector is the HTTP handler.
type Inspector struct {
	source Source
	router *httprouter.Router
}

// New returns a handler of all paths. The guardian protects DrainPath.
func New(s Source, g *guardian.Guardian) *Inspector {
	i := &Inspector{source: s, router: httprouter.New()}
	i.router.HandlerFunc(http.MethodGet, UpstreamsPath, i.upstreams)
	i.router.HandlerFunc(http.MethodGet, ExplainPath, i.explain)
	i.router.Handler(http.MethodPost, DrainPath, g.Require(http.HandlerFunc(i.drain)))
	i.router.NotFound = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusNotFound, failure{"no such path: " + r.URL.Path})
	})
	return i
}

// ServeHTTP answers one request.
func (i *Inspector) ServeHTTP(w http.ResponseWriter, r *http.Request) { i.router.ServeHTTP(w, r) }

func (i *Inspector) upstreams(w http.ResponseWriter, r *http.Request) {
	v, err := i.source.Upstreams(r.Context())
	writeResult(w, http.StatusOK, v, err)
}

func (i *Inspector) explain(w http.ResponseWriter, r *http.Request) {
	values := r.URL.Query()
	query := Query{
		Class:        validator.ClassName(values.Get("class")),
		Organisation: validator.OrganisationName(values.Get("organisation")),
		Pool:         validator.PoolName(values.Get("pool")),
	}
	if query.Organisation == "" || query.Pool == "" {
		writeJSON(w, http.StatusBadRequest, failure{"the parameters organisation and pool are required"})
		return
	}
	explanation, err := i.source.Explain(r.Context(), query)
	writeResult(w, http.StatusOK, explanation, err)
}

func (i *Inspector) drain(w http.ResponseWriter, r *http.Request) {
	v, err := i.source.Drain(r.Context(), guardian.Operator(r.Context()))
	writeResult(w, http.StatusAccepted, v, err)
}

// failure is the body of an error.
type failure struct {
	Error string `json:"error"`
}

func writeResult(w http.ResponseWriter, status int, v any, err error) {
	var missing *NotFoundError
	switch {
	case errors.As(err, &missing):
		writeJSON(w, http.StatusNotFound, failure{err.Error()})
	case err != nil:
		writeJSON(w, http.StatusInternalServerError, failure{err.Error()})
	default:
		writeJSON(w, status, v)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller is gone when this fails; there is no one to tell.
	_ = json.NewEncoder(w).Encode(v)
}
