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

// Model is the name of the one model of a trace.
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

// Traffic describes the requests of a deployment: prompts of rules, then customer, then case.
type Traffic struct {
	Accounts          int
	RulesPerAccount   int
	CustomersPerRules int
	CasesPerCustomer  int
	RulesPieces       int
	CustomerPieces    int
	CasePieces        int
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

// DefaultTraffic returns the traffic of a deployment of today at the given rate.
func DefaultTraffic(requestsPerSecond float64) Traffic {
	return Traffic{
		Accounts: 5, RulesPerAccount: 3, CustomersPerRules: 60, CasesPerCustomer: 8,
		RulesPieces: 6, CustomerPieces: 3, CasePieces: 2, TailTokens: 300,
		AccountSkew: 1, RulesSkew: 1, CustomerSkew: 0.9, Routers: 8,
		RequestsPerSecond: requestsPerSecond, Duration: 5 * time.Minute, Seed: 1,
	}
}

// Trace returns the requests in the order of their arrival. The same traffic gives the same trace.
func (t Traffic) Trace() []Arrival {
	random := rand.New(rand.NewPCG(t.Seed, t.Seed))
	accounts := newSkewed(t.Accounts, t.AccountSkew)
	rules := newSkewed(t.RulesPerAccount, t.RulesSkew)
	customers := newSkewed(t.CustomersPerRules, t.CustomerSkew)
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

// shifted makes other accounts, rules and customers the popular ones.
func (t Traffic) shifted(path [4]int) [4]int {
	return [4]int{
		(path[0] + t.Accounts/2) % t.Accounts, (path[1] + 1) % t.RulesPerAccount,
		(path[2] + t.CustomersPerRules/2) % t.CustomersPerRules, path[3],
	}
}

func (t Traffic) arrival(path [4]int) Arrival {
	scope := lrprefix.Scope{Account: fmt.Sprint(path[0]), Model: Model, Version: "1"}
	pieces := t.RulesPieces + t.CustomerPieces + t.CasePieces
	previous := scope.Salt()
	chain := make([]lrprefix.ID, 0, pieces)
	for n := range pieces {
		depth := 2
		if n >= t.RulesPieces {
			depth = 3
		}
		if n >= t.RulesPieces+t.CustomerPieces {
			depth = 4
		}
		previous = nextPiece(previous, path[:depth], n)
		chain = append(chain, previous)
	}
	return Arrival{
		Account: path[0], Scope: scope, Chain: chain, Tokens: pieces*lrprefix.PieceTokens + t.TailTokens,
	}
}

// nextPiece stands for the identity of a piece of text that belongs to the path.
func nextPiece(previous lrprefix.ID, path []int, position int) lrprefix.ID {
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

// skewed draws numbers with probabilities that fall by a power of their rank.
type skewed struct{ cumulative []float64 }

func newSkewed(count int, skew float64) skewed {
	cumulative := make([]float64, count)
	sum := 0.0
	for n := range cumulative {
		sum += math.Pow(float64(n+1), -skew)
		cumulative[n] = sum
	}
	return skewed{cumulative: cumulative}
}

func (s skewed) draw(random *rand.Rand) int {
	target := random.Float64() * s.cumulative[len(s.cumulative)-1]
	return sort.SearchFloat64s(s.cumulative, target)
}
