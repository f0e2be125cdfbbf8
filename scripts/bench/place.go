package main

import (
	"context"
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

const (
	placeEngines  = 95
	placePrompts  = 512
	placeSharedID = "rules"
	// placeWarmUp and placeOperations are the operations before and during a measurement.
	placeWarmUp     = 2000
	placeOperations = 5000
	// placeTarget is the bound of a decision on one request, in nanoseconds.
	placeTarget = 20_000
	// stepTarget is a tenth of the processor time for control work between two steps of the response monitor.
	stepTarget = 0.0037 * 40e6
)

// measurePlace measures the processor time of choosing a backend server, and of finding those that do not respond.
func measurePlace(context.Context) ([]figure, error) {
	return []figure{
		{"chooseTime", chooseCost(placeEngines, futureInstances), chooseCost(placeEngines, 8), placeTarget, "ns"},
		{"attemptTime", attemptCost(placeEngines), math.NaN(), placeTarget, "ns"},
		{"stepTime", stepCost(placeEngines), math.NaN(), stepTarget, "ns"},
		{"stepTimeAllEngines", stepCost(900), math.NaN(), stepTarget, "ns"},
	}, nil
}

func placeEngineList(count int) []lrbalance.Engine {
	engines := make([]lrbalance.Engine, count)
	for n := range engines {
		engines[n] = lrbalance.Engine{
			ID: fmt.Sprintf("engine-gulf-south-a-%d", n), Zone: string(rune('a' + n%3)), Slots: 64, Memory: 258_782, Version: 1,
		}
	}
	return engines
}

// placeRequest returns a long request of one of many prompts.
func placeRequest(n, instances int) lrbalance.Request {
	return lrbalance.Request{
		Scope: "account/model", Service: "engines", Tokens: 12_000, OutputTokens: 60, Target: time.Second, Instances: instances,
		Blocks: []lrbalance.Block{
			{ID: placeSharedID, Tokens: 1400}, {ID: fmt.Sprint("file", n%placePrompts), Tokens: 4000}, {ID: "own", Tokens: 6600},
		},
	}
}

// threadTimeOf returns the processor time of one operation in nanoseconds, which does not depend on what else the machine runs.
func threadTimeOf(operation func(n int)) float64 {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for n := range placeWarmUp {
		operation(n)
	}
	before := threadTime()
	for n := range placeOperations {
		operation(placeWarmUp + n)
	}
	return float64(threadTime()-before) / placeOperations
}

func threadTime() time.Duration {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_THREAD, &usage)
	if err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// chooseCost measures a placement with its end, with loads and speeds of other instances for every engine.
func chooseCost(count, instances int) float64 {
	engines := placeEngineList(count)
	balancer := lrbalance.New(lrbalance.Options{PrefillPerMilli: 85, Zone: "a", Seed: 1})
	loads := map[string]lrbalance.Load{}
	for n, e := range engines {
		loads[e.ID] = lrbalance.Load{Waiting: 400 * (n % 50), Running: n % 64, Held: 5000 * (n % 60)}.WithSlowness(n%30, 100)
	}
	balancer.SetOtherLoads(loads)
	now := time.Unix(1_000_000, 0)
	return threadTimeOf(func(n int) {
		at := now.Add(time.Duration(n) * time.Millisecond)
		choice, _ := balancer.Choose(at, placeRequest(n, instances), engines)
		balancer.FirstEventAfter(at.Add(choice.Wait), choice)
		balancer.FirstEvent(at, choice)
		balancer.End(choice, true)
	})
}

// attemptCost measures what the response monitor adds to a request: the suspected servers, and an attempt with 60 events.
func attemptCost(count int) float64 {
	m, now := suspectingMonitor(count)
	return threadTimeOf(func(int) {
		_ = m.Suspected(now)
		a := m.Sent(now, lrretry.AttemptOptions{Server: "engine-gulf-south-a-1", Service: "engines", Route: "long"})
		for range 60 {
			a.Received(now, true)
		}
		a.End()
	})
}

// stepCost measures one step of the response monitor with a quarter of the servers suspected.
func stepCost(count int) float64 {
	m, now := suspectingMonitor(count)
	return threadTimeOf(func(int) { _ = m.Step(now) })
}

func suspectingMonitor(count int) (*lrretry.ResponseMonitor, time.Time) {
	m, now := lrretry.NewResponseMonitor(placeFleet(), 1), time.Unix(1_000_000, 0)
	m.Step(now)
	for n := range count {
		id := fmt.Sprintf("engine-gulf-south-a-%d", n)
		a := m.Sent(now, lrretry.AttemptOptions{Server: id, Service: "engines", Route: "long"})
		if n%4 == 0 {
			m.Merge(now, lrretry.Report{Suspicions: []lrretry.SuspicionUpdate{{Server: id, DoubtAge: -1, TrialAge: -1}}})
			continue
		}
		a.Received(now, true)
	}
	return m, now
}

func placeFleet() lrretry.Fleet {
	count := func() int { return futureInstances }
	return lrretry.Fleet{Instances: count, Reached: count, Delay: func() time.Duration { return time.Second }}
}
