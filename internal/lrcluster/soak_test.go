//go:build soak

package lrcluster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const (
	soakSeed      = 20261204
	soakDuration  = 90 * time.Second
	faultInterval = 2 * time.Second
	outputTokens  = 40
	limitedRate   = 10_000
	limitedBurst  = 60_000
	limitedBlocks = 2
)

// soak is a long randomized run: callers send requests while instances, engines, services and the platform fail.
type soak struct {
	t       *testing.T
	cluster *Cluster
	until   time.Time

	mutex   sync.Mutex
	actions map[string][]string
	used    []interval
	counts  map[string]int
}

// interval is the time between the start and the end of a request, within which it was admitted, and its tokens.
type interval struct {
	from, to time.Time
	tokens   int
}

func TestSoakKeepsInvariantsUnderFaults(t *testing.T) {
	requireNoError(t, os.Chdir("../.."))
	cluster, err := New()
	requireNoError(t, err)
	defer cluster.Stop()
	requireNoError(t, cluster.Start())
	s := &soak{t: t, cluster: cluster, until: time.Now().Add(soakDuration), actions: map[string][]string{}, counts: map[string]int{}}
	streaming := s.key("river-college")
	paying := s.key("north-school")
	limited := s.key("essay-desk")
	var group sync.WaitGroup
	for n := range 4 {
		group.Go(func() { s.repeat(n, func(r *rand.Rand) { s.stream(r, streaming) }) })
		group.Go(func() {
			s.repeat(100+n, func(r *rand.Rand) { s.pay(r, paying, fmt.Sprintf("award-%d-%d", n, r.Uint64())) })
		})
		group.Go(func() { s.repeat(200+n, func(r *rand.Rand) { s.spend(r, limited) }) })
	}
	s.repeat(300, s.injectFault)
	group.Wait()
	t.Logf("counts: %v", s.counts)
	s.clearFaults()
	s.checkActions()
	s.checkRate()
}

func (s *soak) key(account string) string {
	s.t.Helper()
	key, err := s.cluster.AddKey(account)
	requireNoError(s.t, err)
	return key
}

func (s *soak) repeat(stream int, work func(*rand.Rand)) {
	random := rand.New(rand.NewPCG(soakSeed, uint64(stream)))
	for time.Now().Before(s.until) {
		work(random)
	}
}

func (s *soak) count(what string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counts[what]++
}

// injectFault injects one random fault and removes it after its duration.
func (s *soak) injectFault(r *rand.Rand) {
	zone := Zones()[r.IntN(len(Zones()))]
	engine := s.cluster.Instance("engine-" + zone).Address
	service := s.cluster.Instance("service-" + zone).Address
	length := time.Duration(1+r.IntN(4)) * time.Second
	var err error
	switch r.IntN(8) {
	case 0:
		s.count("router killed")
		s.cluster.KillRouter(zone)
		time.Sleep(length)
		err = s.cluster.StartRouter(zone)
	case 1:
		s.count("router paused")
		err = s.cluster.PauseRouter(zone)
		time.Sleep(length)
		_ = s.cluster.ResumeRouter(zone)
	case 2:
		s.count("router stopped")
		err = s.cluster.StopRouter(zone)
		if err == nil {
			err = s.cluster.StartRouter(zone)
		}
	case 3:
		s.withFaults("platform down", s.cluster.Platform(), lrstub.Faults{Down: true}, length)
	case 4:
		s.withFaults("platform loses replies", s.cluster.Platform(), lrstub.Faults{LoseReplies: 5}, length)
	case 5:
		s.withFaults("engine crashes", engine, lrstub.Faults{CrashAfterTokens: 1 + r.IntN(outputTokens)}, length)
	case 6:
		s.withFaults("engine freezes", engine, lrstub.Faults{FrozenUntil: time.Now().Add(length)}, length)
	default:
		s.withFaults("service loses replies", service, lrstub.Faults{LoseReplies: 2}, length)
	}
	if err != nil {
		s.t.Error("fault:", err)
	}
	time.Sleep(faultInterval)
}

func (s *soak) withFaults(what, address string, faults lrstub.Faults, length time.Duration) {
	s.count(what)
	requireNoError(s.t, s.cluster.SetFaults(address, faults))
	time.Sleep(length)
	requireNoError(s.t, s.cluster.SetFaults(address, lrstub.Faults{}))
}

func (s *soak) address(r *rand.Rand) string { return s.cluster.Address(Zones()[r.IntN(len(Zones()))]) }

// stream checks that an answer is complete, or that its stream ends with an error event.
func (s *soak) stream(r *rand.Rand, key string) {
	prompt := strings.Repeat(fmt.Sprint("rule ", r.IntN(5), "\n"), lrprefix.BlockBytes/7)
	got, err := Chat(s.address(r), key, prompt, outputTokens)
	switch {
	case err != nil:
		s.count("stream: connection lost")
		time.Sleep(pollDelay)
	case got.Status != http.StatusOK:
		s.count(fmt.Sprint("stream: status ", got.Status))
		time.Sleep(pollDelay)
	case got.Complete:
		s.count("stream: complete")
		err = got.CheckComplete(prompt, outputTokens)
		if err != nil {
			s.t.Error("stream:", err)
		}
	case got.Body == "":
		s.t.Errorf("stream %s ended without an error event after %d bytes", got.RequestID, len(got.Text))
	default:
		s.count("stream: error event")
	}
}

// pay sends a paid action until an answer states that it ran, at most three times.
func (s *soak) pay(r *rand.Rand, key, action string) {
	for range 3 {
		outcome := s.payOnce(s.address(r), key, action)
		s.mutex.Lock()
		s.actions[action] = append(s.actions[action], outcome)
		s.mutex.Unlock()
		s.count("paid: " + outcome)
		time.Sleep(pollDelay)
		if outcome == "ran" {
			return
		}
	}
}

func (s *soak) payOnce(address, key, action string) string {
	got, err := Call(http.MethodPost, address, "/disbursements", key, action, `{"amount":100}`)
	if err != nil {
		return "unknown"
	}
	if got.Status == http.StatusOK {
		return "ran"
	}
	var body struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(got.Body), &body) != nil {
		return "unreadable"
	}
	return body.Error.Outcome
}

// spend sends a request that is charged to the rate-limited client account and records its tokens.
func (s *soak) spend(r *rand.Rand, key string) {
	prompt := strings.Repeat("x", limitedBlocks*lrprefix.BlockBytes)
	body := fmt.Sprintf(`{"model":"essay-check","prompt":%q,"max_tokens":10}`, prompt)
	from := time.Now()
	got, err := Call(http.MethodPost, s.address(r), "/v1/completions", key, "", body)
	if err != nil || got.Status != http.StatusOK {
		s.count(fmt.Sprint("spend: status ", got.Status))
		time.Sleep(pollDelay)
		return
	}
	s.count("spend: served")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.used = append(s.used, interval{from: from, to: time.Now(), tokens: limitedBlocks*lrprefix.BlockTokens + 10})
}

func (s *soak) clearFaults() {
	for _, i := range s.cluster.instances {
		if i.Role != "router" {
			requireNoError(s.t, s.cluster.SetFaults(i.Address, lrstub.Faults{}))
		}
	}
	requireNoError(s.t, s.cluster.SetFaults(s.cluster.Platform(), lrstub.Faults{}))
	for _, z := range Zones() {
		requireNoError(s.t, waitFor("http://"+s.cluster.Instance(routerName(z)).AdminAddress+"/readyz"))
	}
}

// checkActions compares the outcomes reported to callers with the effects in the ledgers of the services. An action runs
// at most once, exactly once when it was reported as ran, and never when all reports are notRun.
func (s *soak) checkActions() {
	counts, err := s.cluster.Effects()
	requireNoError(s.t, err)
	for action, outcomes := range s.actions {
		effects := counts[action]
		reported := strings.Join(outcomes, ",")
		if effects > 1 {
			s.t.Errorf("action %s had %d effects (%s)", action, effects, reported)
		}
		if strings.Contains(reported, "ran") && effects != 1 {
			s.t.Errorf("action %s was reported as ran and had %d effects (%s)", action, effects, reported)
		}
		if strings.Trim(strings.ReplaceAll(reported, "notRun", ""), ",") == "" && effects != 0 {
			s.t.Errorf("action %s was reported as notRun and had %d effects (%s)", action, effects, reported)
		}
	}
}

// checkRate checks that the tokens admitted in every window between two requests are within the rate and burst.
func (s *soak) checkRate() {
	slices.SortFunc(s.used, func(a, b interval) int { return a.to.Compare(b.to) })
	for _, first := range s.used {
		used := 0
		for _, u := range s.used {
			if u.from.Before(first.from) {
				continue
			}
			used += u.tokens
			allowed := limitedBurst + limitedRate*u.to.Sub(first.from).Seconds()
			if float64(used) > allowed {
				s.t.Fatalf("%d tokens were used in %s, %.0f are allowed", used, u.to.Sub(first.from), allowed)
			}
		}
	}
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}
