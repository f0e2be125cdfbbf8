package lrgateway

import (
	"bytes"
	"compress/gzip"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrframe"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrmemory"
)

// leakGuard refuses a call that contains text in the form of a key in a place from which it cannot be removed before the call is
// forwarded. Whether the key is valid does not matter, as this instance may not have received the key yet.
type leakGuard struct {
	maxBytes int64
	memory   *lrmemory.Budget
}

func (l *leakGuard) Check(_ time.Time, call *Call) error {
	r := call.Request
	for _, text := range []string{r.Method, r.URL.EscapedPath(), r.Header.Get(HeaderIdempotencyKey), r.Header.Get("Content-Type")} {
		if lrkey.ContainsKey([]byte(text)) {
			return keyExposed()
		}
	}
	reservation := lrframe.NewReservation(r.Context(), l.memory)
	defer reservation.Release()
	decoded, err := l.decodedBody(reservation, r.Header.Values("Content-Encoding"), call.Body)
	if err != nil {
		return err
	}
	if lrkey.ContainsKey(decoded) {
		return keyExposed()
	}
	return nil
}

// decodedBody returns the body, decompressed if needed, so that it can be searched for keys. A decompressed body above maxBytes
// and any encoding but gzip are errors.
func (l *leakGuard) decodedBody(reservation *lrmemory.Reservation, encodings []string, body []byte) ([]byte, error) {
	if len(encodings) == 0 || len(body) == 0 {
		return body, nil
	}
	if len(encodings) > 1 || encodings[0] != "gzip" {
		return nil, badRequest("the body has a Content-Encoding other than gzip; send it without")
	}
	reader, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, badRequest("the body is not valid gzip; send it without Content-Encoding").WithCause(err)
	}
	decoded, isWhole, err := reservation.ReadAll(reader, int(l.maxBytes))
	switch {
	case err != nil:
		return nil, badRequest("the body is not valid gzip; send it without Content-Encoding").WithCause(err)
	case !isWhole && int64(len(decoded)) <= l.maxBytes:
		return nil, memoryUsedUp()
	case !isWhole:
		return nil, lrerror.New(lrerror.KindBodyTooLarge, lrerror.NotRun, "the body is above %d bytes; send a shorter one", l.maxBytes)
	}
	return decoded, nil
}

func keyExposed() *lrerror.Error {
	return badRequest("a key stands in the method, path, body or another place from which it cannot be removed; " +
		"send it in the Authorization header alone, and replace it as it may have been seen")
}
