package lrstub

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const exportTimeout = 2 * time.Second

func pieceURL(store string, id lrprefix.ID) string { return "http://" + store + "/kv/" + id.String() }

// countKept returns the number of leading pieces that the store keeps.
func (e *engine) countKept(ctx context.Context, store string, chain []lrprefix.ID) int {
	for n, id := range chain {
		request, err := http.NewRequestWithContext(ctx, http.MethodHead, pieceURL(store, id), nil)
		if err != nil {
			return n
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return n
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return n
		}
	}
	return len(chain)
}

// export copies the pieces to the kept-KV store in the background. A piece that could not be copied is left out.
func (e *engine) export(pieces []lrprefix.ID) {
	if e.options.ExportTo == "" || len(pieces) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
		defer cancel()
		for _, id := range pieces {
			request, err := http.NewRequestWithContext(ctx, http.MethodPut, pieceURL(e.options.ExportTo, id), bytes.NewReader(id[:]))
			if err != nil {
				return
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				return
			}
			_ = response.Body.Close()
		}
	}()
}
