package lrpipeline

import (
	"context"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrtable"
)

// TestKeptStoreIsUsedWhileItAnswers sends a prompt with shared parts before, during and after a failure of the store.
func TestKeptStoreIsUsedWhileItAnswers(t *testing.T) {
	const address = "10.0.0.9:80"
	cases := []struct {
		name   string
		isDown bool
		want   string
	}{{"answers", false, address}, {"does not answer", true, ""}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, step{body: "ok"})
			spec := testSpec()
			spec.Version, spec.KeptStores = 2, []lrtable.KeptStore{{Name: "keep", Address: address, Zone: "a", TokensPerMilli: 190}}
			w.pipeline.Directory.SetSpec(spec)
			w.kept.isDown = c.isDown
			request := w.request("read")
			request.Model, request.PromptTokens = testModel, 2000
			request.Parts = []lrbalance.Part{{ID: "rules", Tokens: 1500}, {ID: "own", Tokens: 500}}
			w.pipeline.Serve(context.Background(), request, &recorded{})
			requireEqual(t, w.backend.attempts[0].SaveTo, c.want)
			// Without the store an engine is asked that others may have chosen.
			requireEqual(t, w.backend.attempts[0].FetchFrom == address, !c.isDown)
		})
	}
}
