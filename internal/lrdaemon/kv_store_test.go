package lrdaemon

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrkey"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

// TestBlocksAreImportedFromKVStore restarts the only engine with an empty cache between two equal requests. The second
// request must import its prefix blocks from the KV store.
func TestBlocksAreImportedFromKVStore(t *testing.T) {
	h := newHarness(t, 0)
	store := startServer(t, lrstub.NewKVStore())
	options := lrstub.DefaultEngineOptions()
	options.Versions = map[string]string{testModel: "1"}
	options.ExportTo = store.Listener.Addr().String()
	engine := startServer(t, lrstub.NewEngine(options))
	h.instances = append(h.instances,
		lrplatform.Instance{Name: "kept", Role: lrplatform.RoleKVStore, Address: options.ExportTo, Zone: testZone},
		lrplatform.Instance{
			Name: "engine-a", Role: lrplatform.RoleEngine, Address: engine.Listener.Addr().String(), Zone: testZone,
			Models: []string{testModel},
		})
	h.publishInstances()
	d := h.startDaemon("router-1", nil)
	prompt := strings.Repeat("r", 5*lrprefix.BlockBytes)
	requireEqual(t, cachedTokens(t, d, h.key, prompt), 0, "cached tokens at first")
	eventually(t, "the prefix blocks are exported", func() bool {
		chain := lrprefix.Chain(lrprefix.Scope{Account: testAccount, Model: testModel, Version: "1"}.Salt(), prompt)
		response, err := http.Head(store.URL + "/kv/" + chain[4].String())
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	response, err := http.Post(engine.URL+"/control/crash", "", nil)
	requireNoError(t, err)
	_ = response.Body.Close()
	requireEqual(t, cachedTokens(t, d, h.key, prompt), 5*lrprefix.BlockTokens, "cached or imported tokens")
}

// cachedTokens completes the prompt and returns the number of cached tokens in the usage of the response.
func cachedTokens(t *testing.T, d *runningDaemon, key lrkey.Key, prompt string) int {
	t.Helper()
	data, err := json.Marshal(struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}{testModel, prompt, 2})
	requireNoError(t, err)
	response := post(t, d.url+"/v1/completions", key.Reveal(), data)
	defer func() { _ = response.Body.Close() }()
	requireEqual(t, response.StatusCode, http.StatusOK, "status")
	var answer struct {
		Usage struct {
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	requireNoError(t, json.NewDecoder(response.Body).Decode(&answer))
	return answer.Usage.Details.Cached
}
