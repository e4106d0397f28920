package registrar

import "time"

func (r *Registrar) expireHost(now time.Time, n HostName, h *host) {
	silent := now.Sub(h.at)
	if h.up && (silent > Silence || h.Left) {
		h.up = false
		r.dirty = true
		r.act(HostDown{Host: h.Host})
	}
	if h.up {
		r.expectEnd(h.at.Add(Silence + 1))
	}
	if silent > HostRetention {
		delete(r.hosts, n)
		delete(r.keys, h.key)
	}
}

func (r *Registrar) mergeHosts(now, began time.Time, news []HostNews) {
	for _, n := range news {
		if n.Host.Name == r.self.Name {
			r.refute(n.Host)
			continue
		}
		if r.foreign(n.Host.Cell) {
			continue
		}
		r.mergeHost(now, began.Add(-max(n.Age, 0)), n)
	}
}

// refute outbids an earlier process of this host whose incarnation was higher,
// as happens when the clock is set back between two starts.
func (r *Registrar) refute(h Host) {
	if h.Incarnation <= r.self.Incarnation {
		return
	}
	r.self.Incarnation = h.Incarnation + 1
	r.key = keyOf(r.self.Name, r.self.Incarnation)
	r.version++
	r.described = r.version
	r.dirty = true
	r.act(Outbid{Incarnation: r.self.Incarnation})
}

func (r *Registrar) mergeHost(now, at time.Time, n HostNews) {
	h := r.hosts[n.Host.Name]
	if h != nil && (n.Host.Incarnation < h.Incarnation || n.Host.Incarnation == h.Incarnation && n.Described <= h.described) {
		return
	}
	if h == nil || n.Host.Incarnation > h.Incarnation {
		next := &host{Host: n.Host, key: keyOf(n.Host.Name, n.Host.Incarnation), at: at, described: n.Described, heard: n.Described}
		if h != nil {
			next.up = h.up
			delete(r.keys, h.key)
		}
		r.hosts[n.Host.Name], r.keys[next.key] = next, next
		r.raise(now, next)
		return
	}
	h.Host, h.described = n.Host, n.Described
	if n.Described > h.heard {
		h.heard = n.Described
		if at.After(h.at) {
			h.at = at
		}
	}
	r.raise(now, h)
}

// raise publishes the host when it is alive.
func (r *Registrar) raise(now time.Time, h *host) {
	alive := now.Sub(h.at) <= Silence && !h.Left
	switch {
	case alive && !h.up:
		r.act(HostUp{Host: h.Host})
	case alive:
		r.act(HostChanged{Host: h.Host})
	case h.up:
		r.act(HostDown{Host: h.Host})
	default:
		return
	}
	h.up = alive
	r.expectEnd(h.at.Add(Silence + 1))
	r.dirty = true
}

// hear takes versions that grew as signs of life.
func (r *Registrar) hear(at time.Time, v Vector) {
	for k, version := range v {
		h := r.keys[k]
		if h == nil || version <= h.heard {
			continue
		}
		h.heard = version
		if at.After(h.at) {
			h.at = at
		}
		if !h.up && r.last.Sub(h.at) <= Silence && !h.Left {
			h.up = true
			r.expectEnd(h.at.Add(Silence + 1))
			r.dirty = true
			r.act(HostUp{Host: h.Host})
		}
	}
}
