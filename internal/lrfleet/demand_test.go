package lrfleet

import (
	"math"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/internal/lrpeer/lrpeerpb"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrlimit"
)

// TestMalformedDemandIsLeftOut guards against values that are no demand and would spread to every sum that they are added to.
func TestMalformedDemandIsLeftOut(t *testing.T) {
	demand := decodeDemand(map[string]*lrpeerpb.AccountDemand{
		"sound": {Rate: 10, Squares: 20}, "nothing": nil, "negative": {Rate: -1}, "no number": {Rate: math.NaN()},
		"infinite": {Rate: math.Inf(1)}, "no squares": {Rate: 1, Squares: math.NaN()},
	})
	requireEqual(t, "sound", demand["sound"], lrlimit.Demand{Rate: 10, Squares: 20})
	requireEqual(t, "kept", len(demand), 2)
}

// TestDemandOfUnreachableInstancesExpires guards against shares that an instance which is gone keeps for good.
func TestDemandOfUnreachableInstancesExpires(t *testing.T) {
	f := newTestFleet(1)
	f.run(2 * unreachableAfter)
	_, _ = f.find("b0").Limiter.Reserve(f.now, testAccount, testBurst, testBurst, 1)
	f.run(unreachableAfter / 3)
	a := f.find("a0")
	requireEqual(t, "demand of the others is known", a.others(f.now).demand[testAccount].Rate > 0, true)
	f.dead["b0"] = true
	f.run(2 * unreachableAfter)
	requireEqual(t, "demand after the loss", a.others(f.now).demand[testAccount], lrlimit.Demand{})
}
