package dispatcher

import (
	"slices"

	"github.com/amaranthcart/amaranthcart/internal/member/registrar"
)

// The owner judges the silence of upstreams by what hosts report, so it has to know which
// hosts it hears, and a host with requests there sends something even if there is nothing
// to report.

// unheardTime is how long a host with requests at the owner may send nothing before the
// owner no longer counts on its reports: two of them are missing then.
const unheardTime = 2 * reportInterval

// onUnheard sets the function that lists the hosts which can't be heard.
func (l *Local) onUnheard(f func() []registrar.HostName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unheard = f
}

// unheard lists the hosts with requests here that have sent nothing for unheardTime, or
// have no link.
func (s *Server) unheard() []registrar.HostName {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.settings.Clock.Now()
	var list []registrar.HostName
	for h, n := range s.sessions {
		if now.Sub(*n.heardAt.Load()) > unheardTime {
			list = append(list, h)
		}
	}
	for h := range s.orphans {
		if !slices.Contains(list, h) {
			list = append(list, h)
		}
	}
	return list
}

// holds reports whether a request of this host waits or holds slots at the owner.
func (l *link) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sinks) > 0
}

// hasReports reports whether a message for the owner is queued.
func (l *link) hasReports() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.pending.empty()
}
