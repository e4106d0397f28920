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

// startCourier creates the courier, which exchanges summaries with other cells, and lets
// the scheduler spill requests to them.
func (e *entry) startCourier(logger *zap.Logger, mux *http.ServeMux) {
	settings := e.settings
	e.cellsClient = dialer.New(dialer.WithTLS(e.tls))
	e.courier = courier.New(courier.Options{
		Cell:       settings.Cell,
		Region:     settings.Region,
		Address:    settings.Advertise,
		Seeds:      settings.Cells,
		Membership: e.courierMembership,
		Pools:      e.local.Loads,
		Clock:      e.clock,
		Logger:     logger.Named("courier"),
		TLS:        e.tls,
	})
	mux.Handle(wireconnect.NewCellsHandler(e.courier))
	decisions := spiller.New(spiller.WithSeed(uint64(e.clock.Now().UnixNano())))
	e.local.SetCellSelector(dispatcher.NewSpillSelector(settings.Cell, settings.Region, e.courier, decisions, e.clock))
}

// courierMembership describes this host's cell to the courier.
func (e *entry) courierMembership() courier.Membership {
	view := e.members.Snapshot()
	owner := view.Owner(e.settings.Cell)
	result := courier.Membership{IsDispatcher: owner == e.settings.Name, HasDispatcher: owner != ""}
	for _, h := range view.Successors(e.settings.Cell) {
		if h.Name != e.settings.Name {
			result.Others = append(result.Others, h.Address)
		}
	}
	if h, ok := view.Host(owner); ok && !result.IsDispatcher {
		result.Others = append(result.Others, h.Address)
	}
	return result
}
