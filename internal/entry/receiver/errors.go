package receiver

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/entry/forwarder"
)

// Names of headers that the receiver sets or reads.
const (
	RunHeader     = "Amaranth-Run"
	ClassHeader   = "Amaranth-Class"
	RequestHeader = "X-Request-Id"
	KeyHeader     = "Idempotency-Key"
)

// errorBody is the body of an error in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes one error. Param is the field of the request that is at fault,
// or nil.
type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

// encodeError returns the JSON body of an error; an empty param is encoded as null.
func encodeError(e *forwarder.Error, param string) []byte {
	d := errorDetail{Message: e.Message, Type: e.Type, Code: e.Code}
	if param != "" {
		d.Param = &param
	}
	data, err := json.Marshal(errorBody{d})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","param":null,"code":"internal"}}`)
	}
	return data
}

// writeError answers with an error, or with the upstream's own response if the error
// carries one.
func writeError(w http.ResponseWriter, e *forwarder.Error, param string) {
	h := w.Header()
	h.Set(RunHeader, string(e.Run))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retrySeconds(e.RetryAfter))
	}
	if e.Answer != nil {
		writeResponse(w, e.Answer.Status, e.Answer.Header, e.Answer.Body)
		return
	}
	writeResponse(w, e.Status, http.Header{"Content-Type": {"application/json"}}, encodeError(e, param))
}

// retrySeconds returns the value of Retry-After, rounded up because the header has
// whole seconds.
func retrySeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// writeResponse sends a complete response. The caller must read it within writeTimeout.
func writeResponse(w http.ResponseWriter, status int, header http.Header, body []byte) {
	h := w.Header()
	for name, values := range header {
		h[name] = values
	}
	if status != http.StatusNoContent && status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// refuse returns the error of a request of which nothing was sent.
func refuse(status int, kind, code, message string, retry time.Duration) *forwarder.Error {
	return &forwarder.Error{
		Status:     status,
		Type:       kind,
		Code:       code,
		Message:    message,
		RetryAfter: retry,
		Run:        forwarder.NotRun,
	}
}

// badRequest returns the error of a request that is not valid.
func badRequest(code, message string) *forwarder.Error {
	return refuse(http.StatusBadRequest, "invalid_request_error", code, message, 0)
}

// unavailable returns the error of a request that this host can't serve now; it advises
// a retry after 1 s.
func unavailable(code, message string) *forwarder.Error {
	return refuse(http.StatusServiceUnavailable, "server_error", code, message, time.Second)
}
