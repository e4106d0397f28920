package provider

import "time"

// WindowAt returns the window of the given length that contains the time.
func WindowAt(at time.Time, length time.Duration) Window {
	n := at.UnixNano()
	w := n / int64(length)
	if n%int64(length) < 0 {
		w--
	}
	return Window(w)
}

// End returns the time at which the window of the given length ends.
func (w Window) End(length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}
