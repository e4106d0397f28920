package registrar

import "time"

// expireHost reports a host that has timed out or left as down, and forgets it after
// HostRetention.
func (r *Registrar) expireHost(now time.Time, n HostName, h *host) {
	silent := now.Sub(h.lastSeen)
	if h.up && (silent > HostTimeout || h.Left) {
		h.up = false
		r.dirty = true
		r.emit(HostDown{Host: h.Host})
	}
	if h.up {
		r.scheduleExpiry(h.lastSeen.Add(HostTimeout + 1))
	}
	if silent > HostRetention {
		r.dirty = true
		delete(r.hosts, n)
		delete(r.keys, h.key)
	}
}

// mergeHosts applies descriptions of hosts, whose ages are counted back from began. Hosts of
// cells that a scoped registrar ignores are skipped.
func (r *Registrar) mergeHosts(now, began time.Time, descriptions []HostDescription) {
	for _, n := range descriptions {
		if n.Host.Name == r.self.Name {
			r.refute(n.Host)
			continue
		}
		if r.inOtherCell(n.Host.Cell) {
			continue
		}
		r.mergeHost(now, began.Add(-max(n.Age, 0)), n)
	}
}

// refute moves this host to an incarnation above that of another process with its name.
// That is an earlier process of this host if the clock was set back between two starts.
func (r *Registrar) refute(h Host) {
	if h.Incarnation <= r.self.Incarnation {
		return
	}
	r.self.Incarnation = h.Incarnation + 1
	r.key = keyOf(r.self.Name, r.self.Incarnation)
	r.version++
	r.descriptionVersion = r.version
	r.dirty = true
	r.emit(NameConflict{Incarnation: r.self.Incarnation})
}

// mergeHost applies the description of another host that was last seen alive at the time
// seen. Descriptions that are not newer than the known one are ignored.
func (r *Registrar) mergeHost(now, seen time.Time, n HostDescription) {
	h := r.hosts[n.Host.Name]
	if h != nil && (n.Host.Incarnation < h.Incarnation || n.Host.Incarnation == h.Incarnation && n.DescriptionVersion <= h.descriptionVersion) {
		return
	}
	if h == nil || n.Host.Incarnation > h.Incarnation {
		next := &host{Host: n.Host, key: keyOf(n.Host.Name, n.Host.Incarnation), lastSeen: seen, descriptionVersion: n.DescriptionVersion, heard: n.DescriptionVersion}
		if h != nil {
			next.up = h.up
			delete(r.keys, h.key)
		}
		r.hosts[n.Host.Name], r.keys[next.key] = next, next
		r.publishHost(now, next)
		return
	}
	h.Host, h.descriptionVersion = n.Host, n.DescriptionVersion
	if n.DescriptionVersion > h.heard {
		h.heard = n.DescriptionVersion
		if seen.After(h.lastSeen) {
			h.lastSeen = seen
		}
	}
	r.publishHost(now, h)
}

// publishHost reports the host as up, changed or down, as its state now requires.
func (r *Registrar) publishHost(now time.Time, h *host) {
	alive := now.Sub(h.lastSeen) <= HostTimeout && !h.Left
	switch {
	case alive && !h.up:
		r.emit(HostUp{Host: h.Host})
	case alive:
		r.emit(HostChanged{Host: h.Host})
	case h.up:
		r.emit(HostDown{Host: h.Host})
	default:
		return
	}
	h.up = alive
	r.scheduleExpiry(h.lastSeen.Add(HostTimeout + 1))
	r.dirty = true
}

// observeVersions treats each host whose version grew as alive at the time seen.
func (r *Registrar) observeVersions(seen time.Time, v Vector) {
	for k, version := range v {
		h := r.keys[k]
		if h == nil || version <= h.heard {
			continue
		}
		h.heard = version
		if seen.After(h.lastSeen) {
			h.lastSeen = seen
		}
		if !h.up && r.lastStep.Sub(h.lastSeen) <= HostTimeout && !h.Left {
			h.up = true
			r.scheduleExpiry(h.lastSeen.Add(HostTimeout + 1))
			r.dirty = true
			r.emit(HostUp{Host: h.Host})
		}
	}
}
