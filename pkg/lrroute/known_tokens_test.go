package lrroute

import (
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

func TestKnownTokensCountBlocksServedByAnyEngine(t *testing.T) {
	n := newTestNested(4)
	chain := testChain("parish-office", 0, 11, 1)
	first := mustServe(t, n, testStart(), testRequest("1", chain))
	requireEqual(t, first.KnownTokens, 0, "known tokens of a new prompt")
	request := testRequest("2", chain)
	request.Excluded = []string{first.Engine}
	second := mustPlace(t, n, testStart().Add(2*time.Second), request)
	requireEqual(t, second.ExpectedCachedTokens, 0, "tokens expected to be cached by another engine")
	requireEqual(t, second.KnownTokens, 11*lrprefix.BlockTokens, "known tokens of a served prompt")
}
