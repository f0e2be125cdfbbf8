//go:build soak

package lrcluster

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
	paidActions       = 400
	paidCallers       = 16
	paidSends         = 6
	paidSeed          = 1
	paidFaultInterval = 400 * time.Millisecond
	inDoubtAfter      = 9 * time.Second
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
	c, err := New()
	requireNoError(t, err)
	defer c.Stop()
	c.extraSettings = "[paid]\ncallTimeout = 2s\n"
	requireNoError(t, c.Start())
	key, err := c.AddKey("north-school")
	requireNoError(t, err)
	requireNoError(t, c.AwaitKey(key, http.StatusOK))

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
	for n := range paidActions {
		outcomes.add(sendPaid(c, key, actionName(n), n%3))
	}
	checkOutcomes(t, c, outcomes)
}

func actionName(n int) string { return fmt.Sprintf("action-%d", n) }

func sendActions(c *Cluster, key string, outcomes *paidOutcomes) {
	actions := make(chan int)
	var group sync.WaitGroup
	for caller := range paidCallers {
		group.Go(func() {
			random := rand.New(rand.NewPCG(paidSeed, uint64(caller)))
			for n := range actions {
				for range paidSends {
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
	for n := range paidActions {
		actions <- n
	}
	close(actions)
	group.Wait()
}

func sendPaid(c *Cluster, key, action string, zone int) paidOutcome {
	got, err := Call(http.MethodPost, c.Address(Zones()[zone]), "/disbursements", key, action, `{"amount":100}`)
	if err != nil {
		return paidOutcome{action: action, outcome: "cut"}
	}
	var failure struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(got.Body), &failure)
	return paidOutcome{
		action: action, body: got.Body, outcome: failure.Error.Outcome, status: got.Status, requestID: got.Header.Get("X-Request-Id"),
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
func injectFaults(t *testing.T, c *Cluster, stop <-chan struct{}) {
	t.Helper()
	random := rand.New(rand.NewPCG(paidSeed, paidCallers))
	for {
		select {
		case <-stop:
			return
		case <-time.After(paidFaultInterval):
		}
		zone := Zones()[random.IntN(3)]
		service := c.Instance("service-" + zone).Address
		router := c.processes[routerName(zone)]
		var err error
		switch random.IntN(8) {
		case 0:
			router.kill()
			err = c.StartRouter(zone)
		case 1:
			err = suspend(router, time.Duration(random.IntN(7000))*time.Millisecond)
		case 2:
			err = c.SetFaults(c.platform, lrstub.Faults{Down: true})
		case 3:
			err = c.SetFaults(c.platform, lrstub.Faults{LoseReplies: 4})
		case 4:
			err = c.SetFaults(c.platform, lrstub.Faults{Delay: 700 * time.Millisecond})
		case 5:
			err = c.SetFaults(service, lrstub.Faults{LoseReplies: 3})
		case 6:
			err = c.SetFaults(service, lrstub.Faults{Delay: 2500 * time.Millisecond})
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

func clearFaults(t *testing.T, c *Cluster) {
	t.Helper()
	requireNoError(t, c.SetFaults(c.platform, lrstub.Faults{}))
	for _, z := range Zones() {
		requireNoError(t, c.SetFaults(c.Instance("service-"+z).Address, lrstub.Faults{}))
	}
}

// checkOutcomes compares the answers to the callers with the ledgers of the services.
func checkOutcomes(t *testing.T, c *Cluster, outcomes *paidOutcomes) {
	t.Helper()
	byAction, byRequest := map[string][]lrstub.Effect{}, map[string]bool{}
	for _, z := range Zones() {
		got, err := Call(http.MethodGet, c.Instance("service-"+z).Address, "/control/ledger", "", "", "")
		requireNoError(t, err)
		var effects []lrstub.Effect
		requireNoError(t, json.Unmarshal([]byte(got.Body), &effects))
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
	t.Logf("%d actions, %d effects, answers by status and outcome: %v", paidActions, len(byRequest), counts)
}
