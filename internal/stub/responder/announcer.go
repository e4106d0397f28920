package responder

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// announceTimeout is shorter than the interval, so that an unreachable entry host
// delays no announcement to the others.
const announceTimeout = 900 * time.Millisecond

// announce sends an announcement to every entry host each second, until the
// responder closes.
func (r *Responder) announce() {
	client := &http.Client{Timeout: announceTimeout}
	scheme := "http://"
	if r.options.TLS != nil {
		client.Transport = &http.Transport{TLSClientConfig: r.options.TLS}
		scheme = "https://"
	}
	defer client.CloseIdleConnections()
	ticker := r.clock.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	for {
		r.announceOnce(client, scheme)
		select {
		case <-ticker.Chan():
		case <-r.context.Done():
			return
		}
	}
}

func (r *Responder) announceOnce(client *http.Client, scheme string) {
	body, err := json.Marshal(r.NextAnnouncement())
	if err != nil {
		r.logger.Error("cannot encode announcement", zap.Error(err))
		return
	}
	var group conc.WaitGroup
	for _, host := range r.options.Entries {
		group.Go(func() {
			if err := post(r.context, client, scheme+host, body); err != nil {
				r.logger.Warn("announcement failed", zap.String("host", host), zap.Error(err))
			}
		})
	}
	group.Wait()
}

func post(ctx context.Context, client *http.Client, base string, body []byte) error {
	url := base + "/upstreams/announce"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBody))
	if err := response.Body.Close(); err != nil {
		return err
	}
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("the entry host answered with status %d", response.StatusCode)
	}
	return nil
}

func (r *Responder) load() (running, waiting int) {
	if r.pacer != nil {
		return r.pacer.load()
	}
	return r.semaphore.load()
}

// NextAnnouncement returns an announcement of the current state under the next
// sequence number.
func (r *Responder) NextAnnouncement() registrar.Upstream {
	running, waiting := r.load()
	loaded, _ := r.state.State(r.clock.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	return registrar.Upstream{
		Name:        r.options.Name,
		Address:     r.address,
		Centre:      r.options.Centre,
		Cell:        r.options.Cell,
		Models:      loaded.Models,
		Adapters:    loaded.Adapters,
		Versions:    loaded.Versions,
		Services:    r.options.Services,
		Incarnation: r.options.Incarnation,
		Sequence:    r.sequence,
		Slots:       r.options.Slots,
		Load:        registrar.Load{Running: running, Waiting: waiting},
		Leaving:     r.leaving.Load(),
	}
}
