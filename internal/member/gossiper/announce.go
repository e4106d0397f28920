package gossiper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"go.uber.org/zap"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
	"github.com/amaranthcart/amaranthcart/internal/rpc/authenticator"
)

// AnnouncePath is the path to which upstreams POST their announcements.
const AnnouncePath = "/upstreams/announce"

// Limits of an announcement.
const (
	// MaxBody bounds an announcement in bytes.
	MaxBody = 64 << 10
	// MaxText bounds each name and address in bytes.
	MaxText = 256
	// MaxList bounds the number of items in each list of models, services, adapters or
	// versions.
	MaxList = 512
	// MaxSlots bounds the slots of one upstream.
	MaxSlots = 1 << 20
)

// Reply is the answer to an announcement.
type Reply struct {
	Accepted bool `json:"accepted"`
	// Lease is how long an announcement is valid, and Renew is how often an upstream
	// has to announce itself. Both are durations in Go's notation.
	Lease string `json:"lease"`
	Renew string `json:"renew"`
	// Reason is why an announcement was not accepted.
	Reason string `json:"reason,omitempty"`
	// Known is the newest known incarnation of the upstream if the announcement
	// is older. A restarted upstream has to exceed it.
	Known registrar.Incarnation `json:"known,omitempty"`
	// Problems lists every fault of an invalid announcement.
	Problems []string `json:"problems,omitempty"`
}

// DecodeAnnouncement decodes and validates an announcement in JSON. Unknown fields are
// permitted, because upstreams may be newer than this host. The error joins all faults.
func DecodeAnnouncement(body []byte) (registrar.Upstream, error) {
	var u registrar.Upstream
	if err := json.Unmarshal(body, &u); err != nil {
		return registrar.Upstream{}, fmt.Errorf("decode announcement: %w", err)
	}
	if err := ValidateAnnouncement(u); err != nil {
		return registrar.Upstream{}, err
	}
	return u, nil
}

// ValidateAnnouncement reports why an announcement can't be accepted. One that passes can
// be sent to other hosts, whose messages hold only valid text and are bounded. The error
// joins all faults.
func ValidateAnnouncement(u registrar.Upstream) error {
	var faults []error
	fault := func(bad bool, format string, args ...any) {
		if bad {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	fault(u.Name == "", "name: must not be empty")
	fault(u.Incarnation == 0, "incarnation: must be at least 1")
	for _, t := range [][2]string{{"name", string(u.Name)}, {"address", u.Address}, {"centre", string(u.Centre)}, {"cell", string(u.Cell)}} {
		fault(len(t[1]) > MaxText, "%s: %d bytes, at most %d are allowed", t[0], len(t[1]), MaxText)
		fault(!isCleanText(t[1]), "%s: must be UTF-8 without control characters and without spaces at its ends", t[0])
	}
	checkList(fault, "services", u.Services)
	checkList(fault, "models", u.Models)
	checkList(fault, "adapters", u.Adapters)
	checkList(fault, "versions", u.Versions)
	fault(u.Slots < 0 || u.Slots > MaxSlots, "slots: %d, must be between 0 and %d", u.Slots, MaxSlots)
	fault(u.Load.Running < 0, "load.running: %d, must not be negative", u.Load.Running)
	fault(u.Load.Waiting < 0, "load.waiting: %d, must not be negative", u.Load.Waiting)
	fault(math.IsNaN(u.Load.Cache) || u.Load.Cache < 0 || u.Load.Cache > 1, "load.cache: %v, must be between 0 and 1", u.Load.Cache)
	if !u.Leaving {
		address, secure := u.Endpoint()
		fault(!secure && !isHostPort(address), "address: %q must be host:port", u.Address)
		fault(secure && !isHostPort(address), "address: %q must be https://host:port", u.Address)
		fault(len(u.Models)+len(u.Services) == 0, "models, services: at least one is needed")
	}
	return errors.Join(faults...)
}

// isHostPort reports whether an address consists of a host and a port from 1 to 65535,
// without characters that would start another part of a URL.
func isHostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	number, invalid := strconv.ParseUint(port, 10, 16)
	return err == nil && host != "" && !strings.ContainsAny(host, "/?#@%\\ ") && invalid == nil && number > 0
}

// isCleanText reports whether a text can be sent in messages and in headers: it is valid
// UTF-8 without control characters and without spaces at its ends.
func isCleanText(text string) bool {
	return utf8.ValidString(text) && !strings.ContainsFunc(text, unicode.IsControl) && strings.TrimSpace(text) == text
}

func checkList[T ~string](fault func(bool, string, ...any), name string, list []T) {
	fault(len(list) > MaxList, "%s: %d items, at most %d are allowed", name, len(list), MaxList)
	for i, t := range list {
		fault(t == "" || len(t) > MaxText, "%s[%d]: %d bytes, must be 1 to %d", name, i, len(t), MaxText)
		fault(!isCleanText(string(t)), "%s[%d]: must be UTF-8 without control characters and without spaces at its ends", name, i)
	}
}

// AnnounceFunc applies an announcement whose sender has been authorised to make it. It
// returns the HTTP status and the body of the response.
type AnnounceFunc func(ctx context.Context, u registrar.Upstream) (int, Reply)

// NewAnnouncements returns the HTTP handler of upstream announcements, which passes valid
// ones to apply. Secure is set if this host can call https addresses.
func NewAnnouncements(apply AnnounceFunc, secure bool, logger *zap.Logger) http.Handler {
	return announcer{apply: apply, secure: secure, log: logger}
}

// announcer is the HTTP handler of upstream announcements.
type announcer struct {
	apply  AnnounceFunc
	secure bool
	log    *zap.Logger
}

// ServeHTTP implements http.Handler.
func (a announcer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		a.reply(w, http.StatusMethodNotAllowed, Reply{Reason: "only POST is allowed"})
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			a.reply(w, http.StatusRequestEntityTooLarge, Reply{Reason: fmt.Sprintf("the announcement is larger than %d bytes", MaxBody)})
			return
		}
		a.reply(w, http.StatusBadRequest, Reply{Reason: "the announcement was cut off"})
		return
	}
	u, err := DecodeAnnouncement(body)
	if err != nil {
		a.reply(w, http.StatusBadRequest, Reply{Reason: "the announcement is invalid", Problems: problems(err)})
		return
	}
	if reason := a.refuse(r.Context(), u); reason != "" {
		a.reply(w, http.StatusForbidden, Reply{Reason: reason})
		return
	}
	status, reply := a.apply(r.Context(), u)
	a.reply(w, status, reply)
}

// problems lists the messages of the errors that err joins.
func problems(err error) []string {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return []string{err.Error()}
	}
	var list []string
	for _, e := range joined.Unwrap() {
		list = append(list, e.Error())
	}
	return list
}

func (a announcer) reply(w http.ResponseWriter, status int, reply Reply) {
	reply.Lease = registrar.Lease.String()
	reply.Renew = registrar.RenewalInterval.String()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(reply); err != nil {
		a.log.Debug("could not send the reply to an announcement", zap.Error(err))
	}
}

// refuse returns why the sender may not make the announcement, or "" if it may.
func (a announcer) refuse(ctx context.Context, u registrar.Upstream) string {
	if name := authenticator.ClientName(ctx, authenticator.Upstream); name != "" && name != string(u.Name) {
		return "the certificate is that of the upstream " + name
	}
	if _, secure := u.Endpoint(); secure && !a.secure {
		return "this host has no setting tls, so that it can't call an https address"
	}
	return ""
}

// applyAnnouncement applies an announcement on this host only.
func (g *Gossiper) applyAnnouncement(u registrar.Upstream) (int, Reply) {
	if u.Cell == "" {
		u.Cell = g.cell
	}
	for _, a := range g.step(registrar.Announce{Upstream: u}) {
		i, ok := a.(registrar.Ignored)
		if !ok {
			continue
		}
		switch i.Reason {
		case registrar.Repeated:
		case registrar.Stalled, registrar.TableFull:
			return http.StatusServiceUnavailable, Reply{Reason: "this host can't take announcements now: " + string(i.Reason)}
		case registrar.OtherCell:
			return http.StatusMisdirectedRequest, Reply{Reason: "this host serves another cell than " + string(u.Cell)}
		default:
			return http.StatusConflict, Reply{Reason: "newer news is known: " + string(i.Reason), Known: i.Known}
		}
	}
	return http.StatusOK, Reply{Accepted: true}
}
