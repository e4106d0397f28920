package runner

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/entry/dispatcher"
	"github.com/amaranthcart/amaranthcart/internal/member/courier"
	"github.com/amaranthcart/amaranthcart/internal/policy/spiller"
	"github.com/amaranthcart/amaranthcart/internal/rpc/dialer"
	"github.com/amaranthcart/amaranthcart/internal/rpc/wire/wireconnect"
)

// startCourier lets this host work with other cells.
func (e *entry) startCourier(logger *zap.Logger, mux *http.ServeMux) {
	s := e.settings
	e.foreign = dialer.New(dialer.WithTLS(e.tls))
	e.courier = courier.New(courier.Options{
		Cell:       s.Cell,
		Region:     s.Region,
		Address:    s.Advertise,
		Seeds:      s.Cells,
		Membership: e.standing,
		Pools:      e.local.Loads,
		Clock:      e.clock,
		Logger:     logger.Named("courier"),
		TLS:        e.tls,
	})
	mux.Handle(wireconnect.NewCellsHandler(e.courier))
	decisions := spiller.New(spiller.WithSeed(uint64(e.clock.Now().UnixNano())))
	e.local.SetCellSelector(dispatcher.NewSpillSelector(s.Cell, s.Region, e.courier, decisions, e.clock))
}

// standing describes the own cell to the courier.
func (e *entry) standing() courier.Membership {
	view := e.members.Snapshot()
	owner := view.Owner(e.settings.Cell)
	m := courier.Membership{IsDispatcher: owner == e.settings.Name, HasDispatcher: owner != ""}
	for _, h := range view.Successors(e.settings.Cell) {
		if h.Name != e.settings.Name {
			m.Others = append(m.Others, h.Address)
		}
	}
	if h, ok := view.Host(owner); ok && !m.IsDispatcher {
		m.Others = append(m.Others, h.Address)
	}
	return m
}
