package lrgateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

type errorBody struct {
	Error errorFields `json:"error"`
}

type errorFields struct {
	Type      string          `json:"type"`
	Message   string          `json:"message"`
	RequestID string          `json:"requestId"`
	Outcome   lrerror.Outcome `json:"outcome"`
}

func newErrorBody(requestID string, failure *lrerror.Error) errorBody {
	return errorBody{Error: errorFields{
		Type: failure.Kind().String(), Message: failure.Message(), RequestID: requestID, Outcome: failure.Outcome(),
	}}
}

// EncodeRefusal returns the body of a refusal of a request that has no identifier, since it was not read.
func EncodeRefusal(refusal *lrerror.Error) []byte {
	data, err := json.Marshal(newErrorBody("", refusal))
	if err != nil {
		return []byte("{}")
	}
	return data
}

func writeError(w http.ResponseWriter, requestID string, failure *lrerror.Error) {
	if failure.RetryAfter() > 0 {
		seconds := int(math.Ceil(failure.RetryAfter().Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	if failure.Kind() == lrerror.KindUnauthenticated {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, failure.Kind().Status(), newErrorBody(requestID, failure))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		data, status = []byte("{}"), http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
