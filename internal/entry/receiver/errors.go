package receiver

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/amaranthcart/amaranthcart/internal/entry/forwarder"
)

// Headers of the receiver's own.
const (
	RunHeader     = "Amaranth-Run"
	ClassHeader   = "Amaranth-Class"
	RequestHeader = "X-Request-Id"
	KeyHeader     = "Idempotency-Key"
)

// errorBody is the OpenAI error shape.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

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

func writeError(w http.ResponseWriter, e *forwarder.Error, param string) {
	h := w.Header()
	h.Set(RunHeader, string(e.Run))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", retrySeconds(e.RetryAfter))
	}
	if e.Answer != nil {
		writeWhole(w, e.Answer.Status, e.Answer.Header, e.Answer.Body)
		return
	}
	writeWhole(w, e.Status, http.Header{"Content-Type": {"application/json"}}, encodeError(e, param))
}

// retrySeconds rounds up, because the header has whole seconds.
func retrySeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func writeWhole(w http.ResponseWriter, status int, header http.Header, body []byte) {
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

func invalid(code, message string) *forwarder.Error {
	return refuse(http.StatusBadRequest, "invalid_request_error", code, message, 0)
}

func unready(code, message string) *forwarder.Error {
	return refuse(http.StatusServiceUnavailable, "server_error", code, message, time.Second)
}
