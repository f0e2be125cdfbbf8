package lrpipeline

import (
	"context"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

// TestKVStoreIsUsedOnlyWhileItAnswers sends a prompt with a shared prefix block while the KV store answers and while it does not.
func TestKVStoreIsUsedOnlyWhileItAnswers(t *testing.T) {
	const address = "10.0.0.9:80"
	cases := []struct {
		name   string
		isDown bool
		want   string
	}{{"answers", false, address}, {"does not answer", true, ""}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newFixture(t, step{body: "ok"})
			spec := testSpec()
			spec.Version, spec.KVStores = 2, []lrtable.KVStore{{Name: "keep", Address: address, Zone: "a", TokensPerMilli: 190}}
			w.pipeline.Directory.SetSpec(spec)
			w.kvStore.isDown = c.isDown
			request := w.request("read")
			request.Model, request.PromptTokens = testModel, 2000
			request.Blocks = []lrbalance.Block{{ID: "rules", Tokens: 1500}, {ID: "own", Tokens: 500}}
			w.pipeline.Serve(context.Background(), request, &recordingCaller{})
			requireEqual(t, w.backend.attempts[0].SaveTo, c.want)
			// Without the store, the blocks may be fetched from another engine.
			requireEqual(t, w.backend.attempts[0].FetchFrom == address, !c.isDown)
		})
	}
}
