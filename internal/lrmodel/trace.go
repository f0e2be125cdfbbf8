package lrmodel

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

// Model is the name of the only model of a trace.
const Model = "model"

// Arrival is one request of a trace.
type Arrival struct {
	At      time.Duration
	ID      string
	Account int
	Scope   lrprefix.Scope
	Chain   []lrprefix.ID
	Tokens  int
	// Router is the instance at which the request arrives.
	Router int
}

// Traffic describes the requests of a deployment. A prompt starts with rules, followed by a customer's file, a case
// and TailTokens tokens that no other prompt shares. The skews are Zipf exponents.
type Traffic struct {
	Accounts          int
	RulesPerAccount   int
	CustomersPerRules int
	CasesPerCustomer  int
	RulesBlocks       int
	CustomerBlocks    int
	CaseBlocks        int
	TailTokens        int
	AccountSkew       float64
	RulesSkew         float64
	CustomerSkew      float64
	Routers           int
	RequestsPerSecond float64
	Duration          time.Duration
	// ShiftAt is when the popular accounts, rules and customers change. Zero means never.
	ShiftAt time.Duration
	Seed    uint64
}

// DefaultTraffic returns the traffic of a typical deployment at the given rate.
func DefaultTraffic(requestsPerSecond float64) Traffic {
	return Traffic{
		Accounts: 5, RulesPerAccount: 3, CustomersPerRules: 60, CasesPerCustomer: 8,
		RulesBlocks: 6, CustomerBlocks: 3, CaseBlocks: 2, TailTokens: 300,
		AccountSkew: 1, RulesSkew: 1, CustomerSkew: 0.9, Routers: 8,
		RequestsPerSecond: requestsPerSecond, Duration: 5 * time.Minute, Seed: 1,
	}
}

// Trace returns the requests in order of arrival. Equal Traffic values give the same trace.
func (t Traffic) Trace() []Arrival {
	random := rand.New(rand.NewPCG(t.Seed, t.Seed))
	accounts := newZipf(t.Accounts, t.AccountSkew)
	rules := newZipf(t.RulesPerAccount, t.RulesSkew)
	customers := newZipf(t.CustomersPerRules, t.CustomerSkew)
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / t.RequestsPerSecond * float64(time.Second))
		if at >= t.Duration {
			return arrivals
		}
		path := [4]int{
			accounts.draw(random), rules.draw(random), customers.draw(random), random.IntN(t.CasesPerCustomer),
		}
		if t.ShiftAt > 0 && at >= t.ShiftAt {
			path = t.shifted(path)
		}
		arrival := t.arrival(path)
		arrival.At, arrival.ID, arrival.Router = at, fmt.Sprint(len(arrivals)), random.IntN(t.Routers)
		arrivals = append(arrivals, arrival)
	}
}

// shifted moves the popularity to other accounts, rules and customers.
func (t Traffic) shifted(path [4]int) [4]int {
	return [4]int{
		(path[0] + t.Accounts/2) % t.Accounts, (path[1] + 1) % t.RulesPerAccount,
		(path[2] + t.CustomersPerRules/2) % t.CustomersPerRules, path[3],
	}
}

func (t Traffic) arrival(path [4]int) Arrival {
	scope := lrprefix.Scope{Account: fmt.Sprint(path[0]), Model: Model, Version: "1"}
	blocks := t.RulesBlocks + t.CustomerBlocks + t.CaseBlocks
	previous := scope.Salt()
	chain := make([]lrprefix.ID, 0, blocks)
	for n := range blocks {
		depth := 2
		if n >= t.RulesBlocks {
			depth = 3
		}
		if n >= t.RulesBlocks+t.CustomerBlocks {
			depth = 4
		}
		previous = nextBlockID(previous, path[:depth], n)
		chain = append(chain, previous)
	}
	return Arrival{
		Account: path[0], Scope: scope, Chain: chain, Tokens: blocks*lrprefix.BlockTokens + t.TailTokens,
	}
}

// nextBlockID returns a deterministic stand-in for the ID of the block that follows previous on the path.
func nextBlockID(previous lrprefix.ID, path []int, position int) lrprefix.ID {
	state := binary.BigEndian.Uint64(previous[:8])
	for _, p := range path {
		state = rand.NewPCG(state, uint64(p)+1).Uint64()
	}
	generator := rand.NewPCG(state, uint64(position))
	var id lrprefix.ID
	binary.BigEndian.PutUint64(id[:8], generator.Uint64())
	binary.BigEndian.PutUint64(id[8:], generator.Uint64())
	return id
}

// zipf draws numbers with a Zipf distribution: probabilities fall by a power of their rank.
type zipf struct{ cumulative []float64 }

func newZipf(count int, skew float64) zipf {
	cumulative := make([]float64, count)
	sum := 0.0
	for n := range cumulative {
		sum += math.Pow(float64(n+1), -skew)
		cumulative[n] = sum
	}
	return zipf{cumulative: cumulative}
}

func (s zipf) draw(random *rand.Rand) int {
	target := random.Float64() * s.cumulative[len(s.cumulative)-1]
	return sort.SearchFloat64s(s.cumulative, target)
}
