package lrbalance

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Options describe the backend servers.
type Options struct {
	// PrefillPerMilli is the number of prompt tokens that an engine computes in a millisecond.
	PrefillPerMilli float64
	// Zone is the availability zone of the instance.
	Zone string
	// Seed is the seed of the generator that breaks ties.
	Seed uint64
}

const (
	// decodeSlowdown is the time that each running request adds to the first token of another one.
	decodeSlowdown = 500 * time.Microsecond
	// workWeight counts computed tokens beside the time that the caller waits, since they keep others waiting too.
	workWeight = 1.5
	// homeShare is the part of the shared prompt that the home counts as holding, since other instances send there too.
	homeShare = 0.7
	// fetchPerToken is the time that an engine takes to fetch one token of a prompt from another engine.
	fetchPerToken = 3 * time.Microsecond
	// farZone is the cost of the bytes that cross the border of an availability zone.
	farZone = 12 * time.Millisecond
	// oldVersionGrace is how long an answer of older weights is as good as one of the newest.
	oldVersionGrace = 1400 * time.Millisecond
	// oldVersionCost is the cost of an answer of older weights after that.
	oldVersionCost = 400 * time.Millisecond
	// oldVersionEnd is the time from which on a request must not begin on older weights, its wait at the engine included.
	oldVersionEnd = 5 * time.Second
	// targetShare is the part of the wanted time above which each further wait costs lateWeight times as much.
	targetShare = 0.7
	lateWeight  = 3.0
	// doubtCost keeps requests in reach of the instance while its availability zone seems to be cut off.
	doubtCost = 300 * time.Millisecond
	// attentionPerMillionPairs is the time that an engine takes for the attention between a million pairs of tokens.
	attentionPerMillionPairs = 275 * time.Microsecond
	// slotCost is the cost of each request above the slots of a backend server.
	slotCost = 50 * time.Millisecond
)

// A Balancer chooses backend servers. It is safe for use by several goroutines.
type Balancer struct {
	options Options
	mutex   sync.Mutex
	random  *rand.Rand
	own     map[string]Load
	others  map[string]Load
	beliefs *beliefs
}

// New returns a Balancer that has sent nothing yet.
func New(options Options) *Balancer {
	return &Balancer{
		options: options, random: rand.New(rand.NewPCG(options.Seed, options.Seed)),
		own: map[string]Load{}, others: map[string]Load{}, beliefs: newBeliefs(),
	}
}

// Choose returns the best of the engines for the request, and counts the request there until End is called. It reports
// false when none can take it.
func (b *Balancer) Choose(now time.Time, request Request, engines []Engine) (Choice, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	p, candidates := b.look(now, request, engines)
	order := p.ranked(usable(request, candidates))
	best, ok := p.cheapest(order, p.compared(order))
	if !ok {
		best, ok = p.cheapest(order, nil)
	}
	if !ok {
		return Choice{}, false
	}
	best.Candidates = len(order)
	best.IsSaved = p.isWorthSaving(now, best)
	switch {
	case best.Source != "" || best.FromStore:
	case best.Store.isLasting() && len(best.runs) > 0:
		// It holds more than this instance has heard of, and a miss costs a millisecond.
		best.FromStore = true
	default:
		best.Source = p.secondSource(order, best)
	}
	best.work = best.Missing + int(b.attention(best.Missing, request.Tokens).Seconds()*1000*b.options.PrefillPerMilli)
	b.count(best.Engine.ID, Load{Waiting: best.work, Running: 1})
	b.beliefs.begin(now, best.Engine.ID, best.runs)
	if best.IsSaved {
		b.beliefs.begin(now, best.Store.name(), best.runs)
	}
	return best, true
}

func (b *Balancer) cost(request Request, choice Choice) time.Duration {
	cost := choice.Wait + time.Duration(workWeight*float64(b.prefill(choice.Missing)))
	if choice.Engine.Zone != b.options.Zone {
		cost += farZone
	}
	if choice.Engine.OutdatedFor > oldVersionGrace {
		cost += oldVersionCost
	}
	late := choice.Wait - time.Duration(targetShare*float64(request.Target))
	if request.Target > 0 && late > 0 {
		cost += time.Duration(lateWeight * float64(late))
	}
	if choice.Engine.IsDoubtful {
		cost += doubtCost
	}
	if len(request.Parts) == 0 {
		cost += time.Duration(b.random.Int64N(int64(time.Millisecond)))
	}
	return cost
}

func (b *Balancer) prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / b.options.PrefillPerMilli * float64(time.Millisecond))
}

// attention returns the time by which the missing tokens take longer to compute in a long prompt: each one looks at all
// before it.
func (b *Balancer) attention(missing, total int) time.Duration {
	pairs := float64(missing) * (float64(total) - float64(missing)/2)
	return time.Duration(pairs / 1e6 * float64(attentionPerMillionPairs))
}

func (b *Balancer) load(engine string) Load {
	return b.own[engine].Plus(b.others[engine])
}

// Load returns the work that all instances are known to have at the engine.
func (b *Balancer) Load(engine string) Load {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.load(engine)
}

// FirstEvent tells that the first event of a request has come, so that its prompt is computed.
func (b *Balancer) FirstEvent(now time.Time, choice Choice) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.beliefs.ready(now, choice.Engine.ID, choice.runs)
	if choice.IsSaved {
		b.beliefs.ready(now, choice.Store.name(), choice.runs)
	}
	b.count(choice.Engine.ID, Load{Waiting: -choice.work})
}

// End tells that a request has ended. Its prompt was computed if its first event has come.
func (b *Balancer) End(choice Choice, computed bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	load := Load{Running: -1}
	if !computed {
		load.Waiting = -choice.work
		b.beliefs.abandon(choice.Engine.ID, choice.runs)
		if choice.IsSaved {
			b.beliefs.abandon(choice.Store.name(), choice.runs)
		}
	}
	b.count(choice.Engine.ID, load)
}

func (b *Balancer) count(engine string, load Load) {
	sum := b.own[engine].Plus(load)
	if sum == (Load{}) {
		delete(b.own, engine)
		return
	}
	b.own[engine] = sum
}

// Own returns the work of this instance at each engine.
func (b *Balancer) Own() map[string]Load {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	own := make(map[string]Load, len(b.own))
	for name, l := range b.own {
		own[name] = l
	}
	return own
}

// SetOthers replaces what is known of the work of all other instances.
func (b *Balancer) SetOthers(loads map[string]Load) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.others = loads
}

// Cursors tell up to where a reader has heard the news.
type Cursors struct {
	Near uint64
	Far  uint64
}

// News returns what engines have come to hold since the cursors. Without far it leaves out what was heard from other
// availability zones.
func (b *Balancer) News(now time.Time, cursors Cursors, far bool) ([]Holding, Cursors) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	told, near := b.beliefs.near.since(now, cursors.Near)
	cursors.Near = near
	if far {
		more, next := b.beliefs.far.since(now, cursors.Far)
		told, cursors.Far = append(told, more...), next
	}
	return told, cursors
}

// Heard takes in what engines hold, as told by an instance of the own availability zone or of another one.
func (b *Balancer) Heard(now time.Time, holdings []Holding, far bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	log := b.beliefs.near
	if far {
		log = b.beliefs.far
	}
	for _, h := range holdings {
		b.beliefs.heard(now, h, log)
	}
}

// Learn takes in what an engine or kept store holds, as this instance has read there, and tells others.
func (b *Balancer) Learn(now time.Time, engine string, keys []Key) {
	holdings := make([]Holding, 0, len(keys))
	for _, k := range keys {
		holdings = append(holdings, Holding{Engine: engine, Key: k})
	}
	b.Heard(now, holdings, false)
}

// Forget drops what is believed of the cache of an engine or kept store, since it restarted or changed its weights.
func (b *Balancer) Forget(engine string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.beliefs.forget(engine)
}
