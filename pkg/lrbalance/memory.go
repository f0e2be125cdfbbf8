package lrbalance

import "time"

const (
	// assumedResidence is how long a request is assumed to hold memory of an engine before this was observed. It is learned within the bounds.
	assumedResidence = 500 * time.Millisecond
	minResidence     = 50 * time.Millisecond
	maxResidence     = 10 * time.Second
	// residenceRate is the part of an error by which one sample corrects the residence, maxResidenceError bounds the error in proportion.
	residenceRate     = 0.05
	maxResidenceError = 0.5
	// maxOvercommit bounds by how many times its memory an engine is expected to be overcommitted.
	maxOvercommit = 8.0
	// preemptingShare is the part of the wait for memory that a request has for which less urgent ones are preempted.
	preemptingShare = 0.25
	// lessUrgentFor is how long after a less urgent request others of the service are expected to preempt.
	lessUrgentFor = 5 * time.Second
)

// heldBlock is a shared block that requests of this instance hold at one engine.
type heldBlock struct{ requests, tokens int }

// memoryModel is what is known of the use of memory by the requests of one service.
type memoryModel struct {
	// residence is how long a request holds memory, from the begin of its computation on.
	residence time.Duration
	// leastUrgent is the lowest priority of recent requests, seen at leastUrgentAt.
	leastUrgent   int
	leastUrgentAt time.Time
}

// memoryModel returns the model of the service.
func (b *Balancer) memoryModel(service string) memoryModel {
	m, ok := b.memories[service]
	if !ok {
		return memoryModel{residence: assumedResidence}
	}
	return m
}

func (b *Balancer) setMemoryModel(service string, m memoryModel) {
	if len(b.memories) >= maxServiceModels {
		clear(b.memories)
	}
	b.memories[service] = m
}

// noteUrgency records the priority of a request of the service.
func (b *Balancer) noteUrgency(now time.Time, service string, urgency int) {
	m := b.memoryModel(service)
	if urgency >= m.leastUrgent || now.Sub(m.leastUrgentAt) > lessUrgentFor {
		m.leastUrgent, m.leastUrgentAt = urgency, now
		b.setMemoryModel(service, m)
	}
}

// ownTokens returns the tokens that the request holds beside its shared blocks: the rest of its prompt and its output.
func (r *Request) ownTokens() int {
	return max(r.Tokens-sharedTokens(*r), 0) + max(r.OutputTokens, 0)
}

// isTooLarge reports whether the engine can never hold the request. It refuses such a request.
func (r *Request) isTooLarge(engine *Engine) bool {
	return engine.Memory > 0 && r.Tokens+max(r.OutputTokens, 0) > engine.Memory
}

// memoryWait returns the expected wait until the memory of the engine has room for the request. The engine is expected to free its memory
// once within the time for which a request holds it.
func (p placement) memoryWait(candidate candidate, load Load) time.Duration {
	capacity := candidate.engine.Memory
	if capacity <= 0 {
		return 0
	}
	needed := p.ownTokens
	for _, block := range candidate.blocks {
		if p.balancer.held[candidate.engine.ID][block.key].requests == 0 {
			needed += block.tokens
		}
	}
	lacking := load.Held + needed - capacity
	if lacking <= 0 {
		return 0
	}
	wait := float64(p.memory.residence) * min(float64(lacking)/float64(capacity), maxOvercommit)
	if p.memory.leastUrgent > p.request.Urgency && p.now.Sub(p.memory.leastUrgentAt) <= lessUrgentFor {
		wait *= preemptingShare
	}
	return time.Duration(wait)
}

// hold counts the memory that the chosen engine needs for the request. Shared blocks are counted once for all requests of this instance.
func (b *Balancer) hold(choice Choice) {
	if choice.Engine.Memory <= 0 {
		return
	}
	tokens := choice.ownTokens
	blocks, ok := b.held[choice.Engine.ID]
	if !ok && len(choice.blocks) > 0 {
		blocks = map[Key]heldBlock{}
		b.held[choice.Engine.ID] = blocks
	}
	for _, block := range choice.blocks {
		h := blocks[block.key]
		if h.requests == 0 {
			h.tokens = block.tokens
			tokens += h.tokens
		}
		h.requests++
		blocks[block.key] = h
	}
	b.count(choice.Engine.ID, Load{Held: tokens})
}

// release ends what hold has counted.
func (b *Balancer) release(choice Choice) {
	if choice.Engine.Memory <= 0 {
		return
	}
	tokens := choice.ownTokens
	blocks := b.held[choice.Engine.ID]
	for _, block := range choice.blocks {
		h := blocks[block.key]
		h.requests--
		if h.requests > 0 {
			blocks[block.key] = h
			continue
		}
		tokens += h.tokens
		delete(blocks, block.key)
	}
	if len(blocks) == 0 {
		delete(b.held, choice.Engine.ID)
	}
	b.count(choice.Engine.ID, Load{Held: -tokens})
}

// learnResidence learns from a request that ends now for how long requests of its service hold memory.
func (b *Balancer) learnResidence(now time.Time, choice Choice) {
	if choice.Engine.Memory <= 0 || choice.chosenAt.IsZero() {
		return
	}
	m := b.memoryModel(choice.service)
	sample := float64(now.Sub(choice.chosenAt) - choice.Wait + choice.compute)
	bound := maxResidenceError * float64(m.residence)
	miss := min(max(sample-float64(m.residence), -bound), bound)
	m.residence = min(max(m.residence+time.Duration(residenceRate*miss), minResidence), maxResidence)
	b.setMemoryModel(choice.service, m)
}
