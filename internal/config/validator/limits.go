package validator

// Limits bounds what callers may send. The settings of a host bound it too, and the lower
// bound is in force. A value of 0 leaves the bound to the settings.
type Limits struct {
	// Header is the largest head of a request in bytes.
	Header int64 `json:"header,omitempty"`
	// Body is the largest body of a request in bytes.
	Body int64 `json:"body,omitempty"`
	// HeaderTime is the longest time from the first byte of a head to its end.
	HeaderTime Duration `json:"headerTime,omitempty"`
	// Idle is how long a connection may be open without a request.
	Idle Duration `json:"idle,omitempty"`
}

// checkLimits checks the limits of a document.
func (c *checker) checkLimits() {
	l := c.document.Limits
	if l == nil {
		return
	}
	const allowed = "0 or more"
	c.Check(l.Header >= 0, "$.limits.header", l.Header, allowed)
	c.Check(l.Body >= 0, "$.limits.body", l.Body, allowed)
	c.Check(l.HeaderTime >= 0, "$.limits.headerTime", l.HeaderTime, allowed)
	c.Check(l.Idle >= 0, "$.limits.idle", l.Idle, allowed)
}
