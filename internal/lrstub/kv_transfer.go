package lrstub

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const exportTimeout = 2 * time.Second

func blockURL(store string, id lrprefix.ID) string { return "http://" + store + "/kv/" + id.String() }

// countStored returns the number of leading blocks of the chain that the store has.
func (e *engine) countStored(ctx context.Context, store string, chain []lrprefix.ID) int {
	for n, id := range chain {
		request, err := http.NewRequestWithContext(ctx, http.MethodHead, blockURL(store, id), nil)
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

// export copies the blocks to the KV store in the background. It stops at the first block that can't be sent.
func (e *engine) export(blocks []lrprefix.ID) {
	if e.options.ExportTo == "" || len(blocks) == 0 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
		defer cancel()
		for _, id := range blocks {
			request, err := http.NewRequestWithContext(ctx, http.MethodPut, blockURL(e.options.ExportTo, id), bytes.NewReader(id[:]))
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
