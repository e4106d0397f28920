package responder

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// Behaviour is the faults and delays that a responder injects into its answers.
type Behaviour struct {
	// First delays the first token or the answer of a plain call.
	First validator.Duration `json:"first,omitempty"`
	// Gap is the time between tokens.
	Gap validator.Duration `json:"gap,omitempty"`
	// Slow multiplies the iteration times of a batching engine; zero means one.
	Slow float64 `json:"slow,omitempty"`
	// Cut ends streams cleanly, but without an end marker, after this many
	// tokens; zero means never.
	Cut int `json:"cut,omitempty"`
	// Break closes the connection after this many tokens; zero means never.
	Break int `json:"break,omitempty"`
	// Hang stops sending on the open connection after this many tokens; zero
	// means never.
	Hang int `json:"hang,omitempty"`
	// Short declares a longer body than is sent, then closes the connection.
	Short bool `json:"short,omitempty"`
	// Lose runs plain calls and accepts orders, but closes the connection
	// without an answer.
	Lose bool `json:"lose,omitempty"`
	// Pad lengthens the answers of plain calls by this many bytes.
	Pad int `json:"pad,omitempty"`
	// Status is the HTTP status to answer with instead of running anything;
	// zero means none.
	Status int `json:"status,omitempty"`
	// Times is the number of requests that the behaviour applies to; zero means
	// all.
	Times int `json:"times,omitempty"`
}

// controlRequest is the body of POST /control. Absent fields change nothing.
type controlRequest struct {
	Behaviour *Behaviour     `json:"behaviour,omitempty"`
	Silence   bool           `json:"silence,omitempty"`
	Leave     bool           `json:"leave,omitempty"`
	Crash     bool           `json:"crash,omitempty"`
	Orders    *orderSettings `json:"orders,omitempty"`
}

// orderSettings changes how later orders are handled.
type orderSettings struct {
	// Fenced makes the responder refuse orders with old fencing numbers.
	Fenced bool `json:"fenced"`
	// Load is how long it takes to load weights.
	Load validator.Duration `json:"load"`
}

// Set replaces the behaviour for later requests; its Slow also applies to running
// generations.
func (r *Responder) Set(b Behaviour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behaviour = b
}

// slowFactor returns the factor by which the iterations of a batching engine
// take longer.
func (r *Responder) slowFactor() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.behaviour.Slow > 0 {
		return r.behaviour.Slow
	}
	return 1
}

// takeBehaviour returns the behaviour for one request and counts the request
// against Times.
func (r *Responder) takeBehaviour() Behaviour {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.behaviour
	if b.Times == 1 {
		r.behaviour = Behaviour{}
	}
	if b.Times > 1 {
		r.behaviour.Times--
	}
	return b
}

// Runs returns how often each plain call ran, by its key. It counts the started
// generations under Generations, the accepted orders under Orders and the refused
// ones under RejectedOrders.
func (r *Responder) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runs)
}

// count adds one run under the key and returns the new count.
func (r *Responder) count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[key]++
	return r.runs[key]
}

func (r *Responder) getControl(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	r.mu.Lock()
	b := r.behaviour
	r.mu.Unlock()
	writeJSON(w, http.StatusOK, b)
}

func (r *Responder) getRuns(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, r.Runs())
}

func (r *Responder) postControl(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
	var o controlRequest
	if err := json.NewDecoder(io.LimitReader(q.Body, maxBody)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	if o.Behaviour != nil {
		r.Set(*o.Behaviour)
	}
	if o.Orders != nil {
		r.state.Configure(o.Orders.Fenced, time.Duration(o.Orders.Load))
	}
	if o.Leave {
		r.Leave()
	}
	writeJSON(w, http.StatusOK, o)
	if o.Silence {
		r.Silence()
	}
	if o.Crash {
		r.crash()
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		status, body = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func writeError(w http.ResponseWriter, status int, message string) {
	type fault struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	}
	writeJSON(w, status, struct {
		Error fault `json:"error"`
	}{fault{message, "invalid_request_error"}})
}
