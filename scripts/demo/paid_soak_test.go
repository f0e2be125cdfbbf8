//go:build soak

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
)

const (
	soakActions   = 400
	soakCallers   = 16
	soakSends     = 6
	soakSeed      = 1
	faultInterval = 400 * time.Millisecond
	inDoubtAfter  = 9 * time.Second
)

// paidOutcome is the answer to one send of an action.
type paidOutcome struct {
	action, body, outcome string
	requestID             string
	status                int
}

// TestPaidAcrossProcesses sends paid actions through instances that are killed and suspended, while the platform and the
// services lose replies, delay calls and go down. It guards against actions that run twice or contrary to their answer.
func TestPaidAcrossProcesses(t *testing.T) {
	t.Chdir("../..")
	c, err := newCluster()
	requireNoError(t, err)
	defer c.stop()
	c.extraSettings = "[paid]\ncallTimeout = 2s\n"
	requireNoError(t, c.start())
	key, err := c.addKey("north-school")
	requireNoError(t, err)
	requireNoError(t, waitForKey(c, key))

	outcomes := &paidOutcomes{}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		injectFaults(t, c, stop)
	}()
	sendActions(c, key, outcomes)
	close(stop)
	<-stopped
	clearFaults(t, c)
	time.Sleep(inDoubtAfter)
	for n := range soakActions {
		outcomes.add(sendPaid(c, key, actionName(n), n%3))
	}
	checkOutcomes(t, c, outcomes)
}

func actionName(n int) string { return fmt.Sprintf("action-%d", n) }

func sendActions(c *cluster, key string, outcomes *paidOutcomes) {
	actions := make(chan int)
	var group sync.WaitGroup
	for caller := range soakCallers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(soakSeed, uint64(caller)))
			for n := range actions {
				for range soakSends {
					got := sendPaid(c, key, actionName(n), random.IntN(3))
					outcomes.add(got)
					if got.status == http.StatusOK && random.IntN(2) == 0 {
						break
					}
					time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
				}
			}
		})
	}
	for n := range soakActions {
		actions <- n
	}
	close(actions)
	group.Wait()
}

func sendPaid(c *cluster, key, action string, zone int) paidOutcome {
	got, err := call(http.MethodPost, c.address(zones()[zone]), "/disbursements", key, action, `{"amount":100}`)
	if err != nil {
		return paidOutcome{action: action, outcome: "cut"}
	}
	var failure struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(got.body), &failure)
	return paidOutcome{
		action: action, body: got.body, outcome: failure.Error.Outcome, status: got.status, requestID: got.header.Get("X-Request-Id"),
	}
}

type paidOutcomes struct {
	mutex sync.Mutex
	all   []paidOutcome
}

func (o *paidOutcomes) add(outcome paidOutcome) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.all = append(o.all, outcome)
}

// injectFaults injects one random fault after another until stop is closed.
func injectFaults(t *testing.T, c *cluster, stop <-chan struct{}) {
	t.Helper()
	random := rand.New(rand.NewPCG(soakSeed, soakCallers))
	for {
		select {
		case <-stop:
			return
		case <-time.After(faultInterval):
		}
		zone := zones()[random.IntN(3)]
		service := c.instance("service-" + zone).Address
		router := c.processes[routerName(zone)]
		var err error
		switch random.IntN(8) {
		case 0:
			router.kill()
			err = c.startRouter(zone)
		case 1:
			err = suspend(router, time.Duration(random.IntN(7000))*time.Millisecond)
		case 2:
			err = c.setFaults(c.platform, lrstub.Faults{Down: true})
		case 3:
			err = c.setFaults(c.platform, lrstub.Faults{LoseReplies: 4})
		case 4:
			err = c.setFaults(c.platform, lrstub.Faults{Delay: 700 * time.Millisecond})
		case 5:
			err = c.setFaults(service, lrstub.Faults{LoseReplies: 3})
		case 6:
			err = c.setFaults(service, lrstub.Faults{Delay: 2500 * time.Millisecond})
		case 7:
			clearFaults(t, c)
		}
		if err != nil && !strings.Contains(err.Error(), "ready") {
			t.Errorf("inject a fault: %v", err)
		}
	}
}

func suspend(p *process, duration time.Duration) error {
	err := p.command.Process.Signal(syscall.SIGSTOP)
	if err != nil {
		return err
	}
	time.Sleep(duration)
	return p.command.Process.Signal(syscall.SIGCONT)
}

func clearFaults(t *testing.T, c *cluster) {
	t.Helper()
	requireNoError(t, c.setFaults(c.platform, lrstub.Faults{}))
	for _, z := range zones() {
		requireNoError(t, c.setFaults(c.instance("service-"+z).Address, lrstub.Faults{}))
	}
}

// checkOutcomes compares the answers to the callers with the ledgers of the services.
func checkOutcomes(t *testing.T, c *cluster, outcomes *paidOutcomes) {
	t.Helper()
	byAction, byRequest := map[string][]lrstub.Effect{}, map[string]bool{}
	for _, z := range zones() {
		got, err := call(http.MethodGet, c.instance("service-"+z).Address, "/control/ledger", "", "", "")
		requireNoError(t, err)
		var effects []lrstub.Effect
		requireNoError(t, json.Unmarshal([]byte(got.body), &effects))
		for _, e := range effects {
			byAction[e.IdempotencyKey] = append(byAction[e.IdempotencyKey], e)
			byRequest[e.RequestID] = true
		}
	}
	for action, effects := range byAction {
		if len(effects) > 1 {
			t.Errorf("%s had %d effects", action, len(effects))
		}
	}
	counts := map[string]int{}
	for _, o := range outcomes.all {
		effects := byAction[o.action]
		counts[fmt.Sprint(o.status, " ", o.outcome)]++
		switch {
		case o.status == http.StatusOK && (len(effects) == 0 || effects[0].Answer != o.body):
			t.Errorf("%s was answered %q, which is in no ledger", o.action, o.body)
		case o.outcome == "notRun" && byRequest[o.requestID]:
			t.Errorf("%s was reported as notRun and has run", o.action)
		case o.outcome == "notRun" && o.status == http.StatusConflict && len(effects) > 0:
			t.Errorf("%s was reported as never to run and has run", o.action)
		case o.outcome == "ran" && len(effects) == 0:
			t.Errorf("%s was reported as ran and has not run", o.action)
		}
	}
	t.Logf("%d actions, %d effects, answers by status and outcome: %v", soakActions, len(byRequest), counts)
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
