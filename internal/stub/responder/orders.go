package responder

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/amaranthcart/amaranthcart/internal/config/validator"
)

// Keys under which Runs counts orders.
const (
	// Orders counts the orders that were accepted.
	Orders = "orders"
	// RejectedOrders counts the orders with an old fencing number.
	RejectedOrders = "rejected"
)

// Order is the body of POST /orders: the complete state that the engine must
// reach. A Fence lower than that of an earlier order marks an outdated order.
type Order struct {
	ID       string               `json:"id"`
	Fence    uint64               `json:"fence"`
	Models   []validator.PoolName `json:"models"`
	Adapters []string             `json:"adapters"`
	Versions []string             `json:"versions"`
	Role     string               `json:"role"`
}

func (o Order) equal(p Order) bool {
	return slices.Equal(o.Models, p.Models) && slices.Equal(o.Adapters, p.Adapters) &&
		slices.Equal(o.Versions, p.Versions) && o.Role == p.Role
}

// includes reports whether an engine in the state o has loaded everything that p
// asks for.
func (o Order) includes(p Order) bool {
	return subset(p.Models, o.Models) && subset(p.Adapters, o.Adapters) && subset(p.Versions, o.Versions)
}

func subset[S ~string](part, whole []S) bool {
	for _, s := range part {
		if !slices.Contains(whole, s) {
			return false
		}
	}
	return true
}

// EngineState is the state that an engine has loaded, and the one that it is
// loading.
type EngineState struct {
	mu           sync.Mutex
	checkFences  bool
	loadTime     time.Duration
	highestFence uint64
	current      Order
	ordered      Order
	loadedAt     time.Time
}

// NewEngineState returns an EngineState that has loaded what the order asks for.
// It refuses old fencing numbers if checkFences is set, and takes loadTime to load
// new weights.
func NewEngineState(o Order, checkFences bool, loadTime time.Duration) *EngineState {
	return &EngineState{checkFences: checkFences, loadTime: loadTime, current: o, ordered: o}
}

// Configure changes the fencing check and the load time of later orders.
func (p *EngineState) Configure(checkFences bool, loadTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.checkFences, p.loadTime = checkFences, loadTime
}

// Apply starts to carry out an order and reports whether it is accepted; an order
// with an old fencing number is refused when these are checked. An empty role
// keeps the current one. A repeated order does not start to load again.
func (p *EngineState) Apply(now time.Time, o Order) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishLoading(now)
	if p.checkFences && o.Fence < p.highestFence {
		return false
	}
	p.highestFence = max(p.highestFence, o.Fence)
	if o.Role == "" {
		o.Role = p.ordered.Role
	}
	if o.equal(p.ordered) {
		p.ordered.ID, p.ordered.Fence = o.ID, o.Fence
		return true
	}
	p.ordered, p.loadedAt = o, now
	if !p.current.includes(o) {
		p.loadedAt = now.Add(p.loadTime)
	}
	p.finishLoading(now)
	return true
}

// finishLoading makes the ordered state the current one once its weights are
// loaded.
func (p *EngineState) finishLoading(now time.Time) {
	if !now.Before(p.loadedAt) {
		p.current = p.ordered
	}
}

// State returns the order that was carried out last, and whether a later one is
// still loading weights.
func (p *EngineState) State(now time.Time) (Order, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finishLoading(now)
	return p.current, now.Before(p.loadedAt)
}

// postOrder serves POST /orders. It answers 409 to an order with an old fencing
// number.
func (r *Responder) postOrder(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
	var o Order
	if err := json.NewDecoder(io.LimitReader(q.Body, maxBody)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	b := r.takeBehaviour()
	if !r.usable(q.Context()) {
		return
	}
	if b.Status != 0 {
		writeError(w, b.Status, "disturbed")
		return
	}
	if !r.state.Apply(r.clock.Now(), o) {
		r.count(RejectedOrders)
		writeError(w, http.StatusConflict, "the fencing number is older than one seen before")
		return
	}
	r.count(Orders)
	if b.Lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, o)
}
