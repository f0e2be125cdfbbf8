package lrservice

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrmemory"
)

// Many large answers at the same time must not exceed the memory: an answer that does not fit into what is left is an error that does not
// count against the service.
func TestAnswerBeyondTheMemoryIsAnError(t *testing.T) {
	const size = 100 << 10
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", size)))
	}))
	defer server.Close()
	for _, c := range []struct {
		name   string
		budget int
		fits   bool
	}{{"enough", 4 * size, true}, {"too little", size / 2, false}} {
		t.Run(c.name, func(t *testing.T) {
			budget := lrmemory.NewBudget(c.budget)
			reservation := budget.NewReservation()
			response, err := NewClient(2*size).Call(t.Context(), server.Listener.Addr().String(), Request{Method: http.MethodGet, Path: "/", Memory: reservation})
			if c.fits != (err == nil && len(response.Body) == size) || !c.fits && !ErrNoMemory.Has(err) {
				t.Fatalf("%d bytes, error %v", len(response.Body), err)
			}
			reservation.Release()
			if budget.Available() != c.budget {
				t.Fatalf("%d of %d bytes are available", budget.Available(), c.budget)
			}
		})
	}
}
