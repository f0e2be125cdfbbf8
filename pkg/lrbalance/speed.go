package lrbalance

import (
	"math"
	"time"
)

const (
	// overheadUnit is the unit of the learned time that does not depend on the load of an engine.
	overheadUnit = 20 * time.Millisecond
	// learningRate is the part of an error by which one sample corrects the model of a service, and maxErrorShare bounds the error in
	// proportion to the expected time, so that false samples and rare delays have little influence.
	learningRate  = 0.1
	maxErrorShare = 0.5
	// modelHalfLife is the time without samples after which half of what was learned of a service is dropped.
	modelHalfLife = time.Minute
	// The bounds of the learned factors.
	maxOverhead      = 20.0
	minComputeFactor = 0.25
	maxComputeFactor = 4.0
	minRunningFactor = 0.1
	maxRunningFactor = 20.0
	// maxServiceModels bounds the services of which something is known.
	maxServiceModels = 1024
	// slownessUnit is the weight of one sample of an engine's speed, and slownessPrior that of the assumption that it is as fast as others.
	// It is small because each instance tells the others of all engines.
	slownessUnit  = 10
	slownessPrior = 4 * slownessUnit
	// slownessHalfLife is the time after which a sample of an engine's speed has half its weight. Engines are slower for less than a second.
	slownessHalfLife = 400 * time.Millisecond
	// minSlowness and maxSlowness bound the factor. An engine that looks fast is only little preferred, so that instances do not all choose it.
	minSlowness = 0.7
	maxSlowness = 4.0
	// placedSlowness is the factor from which an engine gets less work. Smaller ones are within the error of a few samples: prompts that
	// changed their engine for them would be computed anew there.
	placedSlowness = 1.4
	// maxSampleRatio bounds one sample.
	maxSampleRatio = 2.5
	// maxSlownessWeight bounds the weight in one report, minSlownessWeight is the weight below which nothing is reported.
	maxSlownessWeight = 100 * slownessUnit
	minSlownessWeight = 1
	// usualSlowness is the logarithm of a factor that need not be reported, if it rests on minUsualWeight.
	usualSlowness  = 0.05
	minUsualWeight = 2 * slownessUnit
	// slownessDamping is added to both times of a sample, so that short times do not give large factors.
	slownessDamping = 20 * time.Millisecond
)

// serviceModel predicts the time to the first event at an engine of a service that is as fast as the others. Its factors multiply the
// units of the features.
type serviceModel struct {
	overhead, compute, running, crossing float64
	at                                   time.Time
}

func newServiceModel() serviceModel { return serviceModel{overhead: 0, compute: 1, running: 1} }

// features are the parts of the expected time to the first event, at the speeds that are assumed before anything was learned.
type features struct {
	// compute is the time to compute the waiting and the own tokens, running the delay by the running requests.
	compute, running time.Duration
	// crossing is crossZoneUnit for an engine of another availability zone.
	crossing time.Duration
	// fixed is the time that is not learned: transfers, and waits for slots or memory.
	fixed time.Duration
}

// expected returns the expected time to the first event at an engine that is slower than others by the given factor.
func (m serviceModel) expected(f features, slowness float64) time.Duration {
	loaded := m.compute*float64(f.compute) + m.running*float64(f.running)
	return f.fixed + time.Duration(m.overhead*float64(overheadUnit)+m.crossing*float64(f.crossing)+slowness*loaded)
}

// placed returns the wait by which engines are compared. It does not depend on what was learned of the service: the same for all engines, that
// would only change how much a queue counts against the cached blocks of a prompt.
func (f features) placed(slowness float64) time.Duration {
	if slowness < placedSlowness {
		slowness = 1
	}
	return f.fixed + time.Duration(slowness*float64(f.compute+f.running))
}

// decayed returns the model after a time without samples.
func (m serviceModel) decayed(now time.Time) serviceModel {
	if m.at.IsZero() || !now.After(m.at) {
		return m
	}
	keep := math.Exp2(-float64(now.Sub(m.at)) / float64(modelHalfLife))
	prior := newServiceModel()
	m.overhead = prior.overhead + keep*(m.overhead-prior.overhead)
	m.compute = prior.compute + keep*(m.compute-prior.compute)
	m.running = prior.running + keep*(m.running-prior.running)
	m.crossing *= keep
	m.at = now
	return m
}

// learned returns the model after a sample: the time to a first event beyond f.fixed, at an engine of the given slowness. The error is
// divided among the factors in proportion to their parts (normalized least mean squares).
func (m serviceModel) learned(now time.Time, f features, slowness float64, took time.Duration) serviceModel {
	m = m.decayed(now)
	m.at = now
	f.fixed = 0
	expected := float64(m.expected(f, slowness))
	bound := max(maxErrorShare*expected, float64(overheadUnit)/2)
	miss := min(max(float64(took)-expected, -bound), bound)
	overhead, compute, running := float64(overheadUnit), slowness*float64(f.compute), slowness*float64(f.running)
	crossing := float64(f.crossing)
	step := learningRate * miss / (overhead*overhead + compute*compute + running*running + crossing*crossing)
	m.overhead = min(max(m.overhead+step*overhead, 0), maxOverhead)
	m.compute = min(max(m.compute+step*compute, minComputeFactor), maxComputeFactor)
	m.running = min(max(m.running+step*running, minRunningFactor), maxRunningFactor)
	m.crossing = min(max(m.crossing+step*crossing, 0), maxCrossing)
	return m
}

// slowness is what recent samples say of how much slower an engine is than the others of its service: the sum of the logarithms of observed
// by expected times, and the number of samples, both in units of a tenth and decayed.
type slowness struct {
	sum, weight float64
	at          time.Time
}

func (s slowness) decayed(now time.Time) slowness {
	keep := math.Exp2(-float64(max(now.Sub(s.at), 0)) / float64(slownessHalfLife))
	return slowness{sum: keep * s.sum, weight: keep * s.weight, at: now}
}

// slownessOf returns the factor by which an engine is slower than the others of its service. Few samples have little weight, because the sum
// is divided by more than their number.
func slownessOf(sum, weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return min(max(math.Exp(sum/(weight+slownessPrior)), minSlowness), maxSlowness)
}

// WithSlowness returns the load with the reported slowness of its server, bounded so that a false report cannot outweigh all others.
func (l Load) WithSlowness(sum, weight int) Load {
	l.SlownessWeight = min(max(weight, 0), maxSlownessWeight)
	bound := int(math.Log(maxSlowness) * float64(l.SlownessWeight))
	l.SlownessSum = min(max(sum, -bound), bound)
	return l
}

// WithoutUsualSlowness returns the load without a slowness that rests on several samples and changes nothing, which need not be reported.
func (l Load) WithoutUsualSlowness() Load {
	weight := float64(l.SlownessWeight)
	if weight >= minUsualWeight && math.Abs(float64(l.SlownessSum)) < usualSlowness*(weight+slownessPrior) {
		l.SlownessSum, l.SlownessWeight = 0, 0
	}
	return l
}

// FirstEventAfter learns the speed of the engine and its service from a first event that arrived now. It must be called only for requests
// that the engine has served.
func (b *Balancer) FirstEventAfter(now time.Time, choice Choice) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	took := now.Sub(choice.chosenAt) - choice.features.fixed
	if choice.chosenAt.IsZero() || took < 0 || choice.isQueued {
		return
	}
	engine := choice.Engine.ID
	factor := b.slowness(now, engine)
	b.setModel(choice.service, b.model(now, choice.service).learned(now, choice.features, factor, took))
	ratio := math.Log(float64(took+slownessDamping) / float64(choice.usual-choice.features.fixed+slownessDamping))
	s := b.speeds[engine].decayed(now)
	s.sum += slownessUnit * min(max(ratio, -math.Log(maxSampleRatio)), math.Log(maxSampleRatio))
	s.weight += slownessUnit
	b.speeds[engine] = slowness{sum: s.sum, weight: s.weight, at: now}
}

// model returns the model of the service.
func (b *Balancer) model(now time.Time, service string) serviceModel {
	m, ok := b.models[service]
	if !ok {
		return newServiceModel()
	}
	return m.decayed(now)
}

func (b *Balancer) setModel(service string, m serviceModel) {
	if len(b.models) >= maxServiceModels {
		clear(b.models)
	}
	b.models[service] = m
}

// slowness returns the factor by which the engine is slower than the others of its service, from the samples of all instances.
func (b *Balancer) slowness(now time.Time, engine string) float64 {
	others := b.otherLoads[engine]
	own, ok := b.speeds[engine]
	if !ok {
		return slownessOf(float64(others.SlownessSum), float64(others.SlownessWeight))
	}
	own = own.decayed(now)
	return slownessOf(own.sum+float64(others.SlownessSum), own.weight+float64(others.SlownessWeight))
}

// OwnSpeeds returns the slowness of each engine from the samples of this instance, to be added to those of other instances.
func (b *Balancer) OwnSpeeds(now time.Time) map[string]Load {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	speeds := make(map[string]Load, len(b.speeds))
	for engine, s := range b.speeds {
		s = s.decayed(now)
		if s.weight < minSlownessWeight {
			delete(b.speeds, engine)
			continue
		}
		speeds[engine] = Load{}.WithSlowness(int(math.Round(s.sum)), int(math.Round(s.weight)))
	}
	return speeds
}
