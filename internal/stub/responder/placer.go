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

// Order is the body of POST /orders: the whole state that the engine shall
// have.
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

// includes reports whether nothing has to be loaded to get from o to p.
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

// EngineState is what an engine has loaded and is loading.
type EngineState struct {
	mu      sync.Mutex
	check   bool
	load    time.Duration
	highest uint64
	current Order
	next    Order
	ready   time.Time
}

// NewEngineState returns an EngineState that has the state of the order loaded. It checks
// fencing numbers if check is set, and needs the time load for new weights.
func NewEngineState(o Order, check bool, load time.Duration) *EngineState {
	return &EngineState{check: check, load: load, current: o, next: o}
}

// Configure changes the check and the load time of later orders.
func (p *EngineState) Configure(check bool, load time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.check, p.load = check, load
}

// Apply takes an order and reports whether it is accepted. A repeated order
// changes nothing.
func (p *EngineState) Apply(now time.Time, o Order) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finish(now)
	if p.check && o.Fence < p.highest {
		return false
	}
	p.highest = max(p.highest, o.Fence)
	if o.Role == "" {
		o.Role = p.next.Role
	}
	if o.equal(p.next) {
		p.next.ID, p.next.Fence = o.ID, o.Fence
		return true
	}
	p.next, p.ready = o, now
	if !p.current.includes(o) {
		p.ready = now.Add(p.load)
	}
	p.finish(now)
	return true
}

func (p *EngineState) finish(now time.Time) {
	if !now.Before(p.ready) {
		p.current = p.next
	}
}

// State returns the order that was carried out last, and whether the weights of
// another one are being loaded.
func (p *EngineState) State(now time.Time) (Order, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.finish(now)
	return p.current, now.Before(p.ready)
}

// postOrder takes an order.
func (r *Responder) postOrder(w http.ResponseWriter, q *http.Request, _ httprouter.Params) {
	var o Order
	if err := json.NewDecoder(io.LimitReader(q.Body, maxBody)).Decode(&o); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	b := r.take()
	if !r.speak(q.Context()) {
		return
	}
	if b.Status != 0 {
		writeError(w, b.Status, "disturbed")
		return
	}
	if !r.placer.Apply(r.clock.Now(), o) {
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
