package claimer

import (
	"maps"
	"net/http"
	"slices"

	"github.com/amaranthcart/amaranthcart/internal/rpc/wire"
)

// truncatedHeader marks a stored answer whose body was too long to be stored.
const truncatedHeader = "Amaranth-Truncated"

// encodeAnswer converts an answer to its stored form. A body longer than MaxStored is
// replaced by truncatedHeader.
func encodeAnswer(a Answer) *wire.Answer {
	m := &wire.Answer{Status: uint32(a.Status), Body: a.Body}
	for _, name := range slices.Sorted(maps.Keys(a.Header)) {
		if name == truncatedHeader {
			continue
		}
		for _, value := range a.Header[name] {
			m.Headers = append(m.Headers, &wire.Header{Name: name, Value: value})
		}
	}
	if len(a.Body) > MaxStored {
		m.Body = nil
		m.Headers = append(m.Headers, &wire.Header{Name: truncatedHeader, Value: "true"})
	}
	return m
}

// decodeAnswer converts a stored answer back.
func decodeAnswer(m *wire.Answer) Answer {
	a := Answer{Status: int(m.GetStatus()), Header: http.Header{}, Body: m.GetBody()}
	for _, h := range m.GetHeaders() {
		a.Header.Add(h.GetName(), h.GetValue())
	}
	return a
}

// replay returns a stored answer, or ErrTruncated if its body was not stored.
func replay(m *wire.Answer) (Answer, Verdict, error) {
	a := decodeAnswer(m)
	if a.Header.Get(truncatedHeader) != "" {
		return Answer{}, Replayed, ErrTruncated
	}
	return a, Replayed, nil
}
