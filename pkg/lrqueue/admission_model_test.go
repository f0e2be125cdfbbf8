package lrqueue

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// modelStep is the resolution of the model, and modelRate the work that one engine does in a millisecond.
	modelStep = 5 * time.Millisecond
	modelRate = 66.0
	// modelCompared is the number of engines that an instance compares for a request.
	modelCompared = 4
	// modelFreeSample is the number of engines of which an instance computes the free part.
	modelFreeSample = 10
	// modelReturn is the part of the time left that a caller waits for at most before it sends a refused request again.
	modelReturn = 1.0 / 3
)

// modelKind is a kind of requests. The credit for an answer is 1 in time and late afterwards.
type modelKind struct {
	route           string
	urgency         int
	target, timeout time.Duration
	work, late      float64
	// perSecond is the usual rate of all callers.
	perSecond float64
}

// modelCaller is one request of a caller with its attempts.
type modelCaller struct {
	kind    *modelKind
	account string
	work    float64
	// sent is the time of the first attempt.
	sent      time.Time
	attempts  int
	remaining float64
	// engine is the engine that has the request.
	engine *modelEngine
	served time.Time
	// patience ends the wait of the caller.
	patience time.Time
	left     bool
	accepted func(now time.Time, took time.Duration)
	begun    time.Time
	expected time.Duration
}

// modelEngine serves the most urgent request first.
type modelEngine struct {
	queues   [10][]*modelCaller
	waiting  float64
	isFrozen bool
	// history is what waited at past steps.
	history []float64
}

// modelSent is work that an instance has sent to an engine, which is not in the reports of that engine's load yet.
type modelSent struct {
	at     time.Time
	engine int
	work   float64
}

// modelInstance is an instance that knows the load of the engines with a delay.
type modelInstance struct {
	admission *Admission
	delay     time.Duration
	sent      []modelSent
}

// admissionModel is a number of instances before engines of fluid capacity.
type admissionModel struct {
	now       time.Time
	random    *rand.Rand
	engines   []*modelEngine
	instances []*modelInstance
	kinds     []*modelKind
	// load multiplies the rate of a kind or of an account.
	load     map[string]float64
	accounts []string
	returns  []*modelCaller
	due      []time.Time
	callers  []*modelCaller
	refusals int
	// slowness is how much longer the engines take than the instances expect.
	slowness float64
	sent     int
	isOff    bool
}

func modelKinds(capacity float64) []*modelKind {
	// At the usual rates the kinds use 0.3 of the capacity each.
	return []*modelKind{
		{route: "long", urgency: 2, target: 1500 * time.Millisecond, timeout: 15 * time.Second, work: 8000, late: 0.45, perSecond: 0.3 * capacity / 8000},
		{route: "short", urgency: 0, target: 400 * time.Millisecond, timeout: 3 * time.Second, work: 1800, late: 0.12, perSecond: 0.3 * capacity / 1800},
	}
}

func newAdmissionModel(instances, engines int, seed uint64) *admissionModel {
	m := &admissionModel{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), load: map[string]float64{}, slowness: 1}
	for range engines {
		m.engines = append(m.engines, &modelEngine{})
	}
	for n := range instances {
		delay := 300*time.Millisecond + time.Duration(m.random.Int64N(int64(300*time.Millisecond)))
		m.instances = append(m.instances, &modelInstance{admission: NewAdmission(uint64(n)), delay: delay})
	}
	m.kinds = modelKinds(float64(engines) * modelRate * 1000)
	for n := range 16 {
		m.accounts = append(m.accounts, string(rune('a'+n)))
	}
	return m
}

// run advances the model.
func (m *admissionModel) run(length time.Duration) {
	for end := m.now.Add(length); m.now.Before(end); m.now = m.now.Add(modelStep) {
		for _, k := range m.kinds {
			for _, account := range m.accounts {
				mean := k.perSecond * modelStep.Seconds() / float64(len(m.accounts)) * m.factor(k.route) * m.factor(account)
				for range m.poisson(mean) {
					c := &modelCaller{kind: k, account: account, work: k.work * math.Exp(0.6*m.random.NormFloat64()-0.18), sent: m.now}
					m.callers = append(m.callers, c)
					m.send(c)
				}
			}
		}
		for n := 0; n < len(m.due); n++ {
			if m.due[n].After(m.now) {
				continue
			}
			c := m.returns[n]
			m.due, m.returns = slices.Delete(m.due, n, n+1), slices.Delete(m.returns, n, n+1)
			n--
			m.send(c)
		}
		for _, e := range m.engines {
			e.step(m.now, modelRate/m.slowness*float64(modelStep/time.Millisecond))
		}
	}
}

func (m *admissionModel) factor(name string) float64 {
	factor, ok := m.load[name]
	if !ok {
		return 1
	}
	return factor
}

func (m *admissionModel) poisson(mean float64) int {
	n, product := 0, m.random.Float64()
	for limit := math.Exp(-mean); product > limit; n++ {
		product *= m.random.Float64()
	}
	return n
}

// view is what the instance expects to wait at the engine.
func (m *admissionModel) view(i *modelInstance, engine int) float64 {
	e := m.engines[engine]
	waiting := 0.0
	if back := len(e.history) - int(i.delay/modelStep); back >= 0 && back < len(e.history) {
		waiting = e.history[back]
	}
	for _, s := range i.sent {
		if s.engine == engine {
			waiting += s.work
		}
	}
	return waiting
}

func (m *admissionModel) send(c *modelCaller) {
	c.attempts++
	m.sent++
	i := m.instances[m.random.IntN(len(m.instances))]
	i.sent = slices.DeleteFunc(i.sent, func(s modelSent) bool { return m.now.Sub(s.at) > i.delay })
	best, least, free := 0, math.Inf(1), 0.0
	for range modelCompared {
		n := m.random.IntN(len(m.engines))
		v := m.view(i, n)
		if v < least {
			best, least = n, v
		}
	}
	for range modelFreeSample {
		if m.view(i, m.random.IntN(len(m.engines))) == 0 {
			free += 1.0 / modelFreeSample
		}
	}
	wait := time.Duration((least + c.work) / modelRate * float64(time.Millisecond))
	if !m.isOff {
		d := i.admission.Decide(m.now, m.arrival(c, wait), func() float64 { return free })
		if !d.IsAccepted() {
			m.refused(c, d)
			return
		}
		c.accepted = func(now time.Time, took time.Duration) { m.observe(i, c, now, took) }
	}
	i.sent = append(i.sent, modelSent{at: m.now, engine: best, work: c.work})
	c.engine, c.remaining, c.begun, c.expected = m.engines[best], c.work, m.now, wait
	c.patience = m.now.Add(max(2*time.Second, 4*c.kind.target))
	c.engine.queues[c.kind.urgency] = append(c.engine.queues[c.kind.urgency], c)
	c.engine.waiting += c.work
}

func (m *admissionModel) refused(c *modelCaller, d Decision) {
	m.refusals++
	left := c.kind.timeout - m.now.Sub(c.sent)
	if c.attempts > 1 || d.RetryAfter > time.Duration(modelReturn*float64(left)) {
		return
	}
	m.due, m.returns = append(m.due, m.now.Add(d.RetryAfter)), append(m.returns, c)
}

// step serves the engine's requests for one step, in which it can do the budget of work. Callers that have waited too long leave.
func (e *modelEngine) step(now time.Time, budget float64) {
	e.history = append(e.history, e.waiting)
	for urgency := range e.queues {
		e.queues[urgency] = slices.DeleteFunc(e.queues[urgency], func(c *modelCaller) bool {
			if now.After(c.patience) {
				c.left = true
				e.waiting -= c.work
				c.ended(now)
				return true
			}
			if e.isFrozen || budget <= 0 {
				return false
			}
			did := min(budget, c.remaining)
			budget -= did
			c.remaining -= did
			if c.remaining > 0 {
				return false
			}
			e.waiting -= c.work
			c.served = now.Add(modelStep)
			c.ended(c.served)
			return true
		})
	}
	if e.waiting < 1e-6 {
		e.waiting = 0
	}
}

func (c *modelCaller) ended(now time.Time) {
	if c.accepted != nil {
		c.accepted(now, now.Sub(c.begun))
	}
}

// modelResult is what became of the requests that were first sent within some time.
type modelResult struct {
	count, served, inTime, credit float64
}

func (r modelResult) part() float64 { return r.served / max(r.count, 1) }

func (m *admissionModel) result(from time.Time, matches func(c *modelCaller) bool) modelResult {
	var r modelResult
	for _, c := range m.callers {
		if c.sent.Before(from) || m.now.Sub(c.sent) < 3*time.Second || !matches(c) {
			continue
		}
		r.count++
		if c.served.IsZero() {
			continue
		}
		r.served++
		if c.served.Sub(c.sent) <= c.kind.target {
			r.inTime++
			r.credit++
		} else {
			r.credit += c.kind.late
		}
	}
	return r
}

func ofRoute(route string) func(c *modelCaller) bool {
	return func(c *modelCaller) bool { return c.kind.route == route }
}

func ofAccount(account string) func(c *modelCaller) bool {
	return func(c *modelCaller) bool { return c.account == account }
}

// ofLargest matches the largest tenth of the requests of the route.
func (m *admissionModel) ofLargest(route string) func(c *modelCaller) bool {
	var sizes []float64
	for _, c := range m.callers {
		if c.kind.route == route {
			sizes = append(sizes, c.work)
		}
	}
	slices.Sort(sizes)
	bound := sizes[len(sizes)*9/10]
	return func(c *modelCaller) bool { return c.kind.route == route && c.work >= bound }
}

func (m *admissionModel) arrival(c *modelCaller, wait time.Duration) Arrival {
	own := time.Duration(c.work / modelRate * float64(time.Millisecond))
	return Arrival{
		Service: "s", Route: c.kind.route, Account: c.account, Urgency: c.kind.urgency, Work: c.work, Wait: wait, Own: own,
		IsServerFree: wait <= own, Target: c.kind.target, TimeLeft: c.kind.timeout - m.now.Sub(c.sent),
	}
}

func (m *admissionModel) observe(i *modelInstance, c *modelCaller, now time.Time, took time.Duration) {
	if !c.left {
		i.admission.Observe(now, m.arrival(c, c.expected), took)
	}
}
