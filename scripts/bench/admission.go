package main

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrqueue"
)

const (
	admissionEngines  = 95
	admissionSlots    = 64
	admissionTarget   = 400 * time.Millisecond
	admissionTimeout  = 3 * time.Second
	admissionWork     = 1800
	admissionInterval = futureInstances * time.Second / futureRequests
	// admissionUrgencies is the number of kinds of requests of the service.
	admissionUrgencies = 2
	maxDecisionTime    = 20
)

// measureAdmission measures the decision whether a request is sent, for one instance of the size expected in two years: without load, and with
// too much load, where part of the requests is refused and the loads of all engines are compared. Few and many accounts send.
func measureAdmission(context.Context) ([]figure, error) {
	cases := []struct {
		name     string
		wait     time.Duration
		accounts int
	}{
		{"idle", 50 * time.Millisecond, 16},
		{"overloaded", time.Second, 16},
		{"idleManyAccounts", 50 * time.Millisecond, futureAccounts},
		{"overloadedManyAccounts", time.Second, futureAccounts},
	}
	figures := make([]figure, 0, len(cases))
	for _, c := range cases {
		result := testing.Benchmark(func(b *testing.B) {
			b.Helper()
			benchmarkAdmission(b, c.wait, c.accounts)
		})
		took := perOperation(result) / float64(time.Microsecond)
		figures = append(figures, figure{"decisionTime." + c.name, took, math.NaN(), maxDecisionTime, "µs"})
	}
	return figures, nil
}

// benchmarkAdmission decides on requests of the given wait and number of accounts, a quarter of which are followed by a first event.
func benchmarkAdmission(b *testing.B, wait time.Duration, accounts int) {
	b.Helper()
	balancer, engines := loadedBalancer(wait)
	admission := lrqueue.NewAdmission(1)
	now := time.Unix(1000, 0)
	names := make([]string, accounts)
	digests := make([]string, accounts)
	for n := range names {
		names[n], digests[n] = fmt.Sprint("account-", n), fmt.Sprintf("%032x", n)
	}
	for n := 0; b.Loop(); n++ {
		now = now.Add(admissionInterval)
		arrival := lrqueue.Arrival{
			Service: "engines", Route: "route", Account: names[n%accounts], Digest: digests[n%accounts], Urgency: n % admissionUrgencies,
			Work: admissionWork, Wait: wait, Own: wait / 10, Slots: admissionSlots, Target: admissionTarget, TimeLeft: admissionTimeout,
		}
		decision := admission.Decide(now, arrival, func() float64 {
			return balancer.FreePart(lrbalance.Choice{}, engines, nil)
		})
		if decision.IsAccepted() && n%4 == 0 {
			admission.Observe(now, arrival, wait)
		}
	}
}

// loadedBalancer returns a balancer whose engines have prompts waiting if there is a wait.
func loadedBalancer(wait time.Duration) (*lrbalance.Balancer, []lrbalance.Engine) {
	balancer := lrbalance.New(lrbalance.Options{PrefillPerMilli: 85, Zone: "zone-0"})
	loads := map[string]lrbalance.Load{}
	engines := make([]lrbalance.Engine, 0, admissionEngines)
	for n := range admissionEngines {
		id := fmt.Sprint("engine-", n)
		engines = append(engines, lrbalance.Engine{ID: id, Zone: "zone-0", Slots: admissionSlots})
		loads[id] = lrbalance.Load{Waiting: int(85 * wait.Milliseconds()), Running: admissionSlots / 2}
	}
	balancer.SetOtherLoads(loads)
	return balancer, engines
}
