package responder

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// KeyHeader names the header that tells plain calls apart when they are
// counted; without it, Idempotency-Key and then method and path are used.
const KeyHeader = "Stub-Key"

// service serves a plain call: it counts a run and answers with its key and run
// count.
func (r *Responder) service(w http.ResponseWriter, q *http.Request) {
	body, err := io.ReadAll(io.LimitReader(q.Body, maxBody))
	if err != nil {
		return
	}
	b := r.takeBehaviour()
	if !r.usable(q.Context()) {
		return
	}
	if b.Status != 0 {
		writeError(w, b.Status, "disturbed")
		return
	}
	key := callKey(q)
	n := r.count(key)
	if b.Lose {
		panic(http.ErrAbortHandler)
	}
	if !r.pause(q.Context(), time.Duration(b.First)) || !r.usable(q.Context()) {
		return
	}
	answer := fmt.Sprintf(`{"key":%q,"run":%d,"upstream":%q,"method":%q,"path":%q,"bytes":%d}`,
		key, n, r.options.Name, q.Method, q.URL.RequestURI(), len(body))
	answer += strings.Repeat("\n", b.Pad)
	w.Header().Set("Content-Type", "application/json")
	if b.Short {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)+1))
		_, _ = io.WriteString(w, answer)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

func callKey(q *http.Request) string {
	if key := q.Header.Get(KeyHeader); key != "" {
		return key
	}
	if key := q.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	return q.Method + " " + q.URL.Path
}
