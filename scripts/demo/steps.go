package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

// loadReported is the time after which the instances know that the engines are idle.
const loadReported = time.Second

// streamsUnderway is the time after which the streams of a step are being decoded.
const streamsUnderway = 300 * time.Millisecond

// errNotYet marks a step whose mechanism does not exist yet.
var errNotYet = errors.New("not yet")

// step is one row of the demo.
type step struct {
	name string
	run  func(*cluster) (string, error)
}

func demoSteps() []step {
	return []step{
		{"streamed completion, twice", showCachedCompletion},
		{"idempotent call", showIdempotentCall},
		{"paid call sent twice", showPaidCall},
		{"refusal over rate", showRateLimit},
		{"withdrawn key", showWithdrawnKey},
		{"engine killed in mid stream", showEngineCrash},
		{"graceful stop under load", showGracefulStop},
		{"restart with the platform down", showRestart},
	}
}

func runSteps(c *cluster, steps []step) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	_, _ = fmt.Fprintln(table, "STEP\tRESULT")
	for _, s := range steps {
		result, err := s.run(c)
		switch {
		case errors.Is(err, errNotYet):
			result = "not yet"
		case err != nil:
			return fmt.Errorf("%s: %w", s.name, err)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\n", s.name, result)
	}
	return nil
}

// rules returns a text of the given number of cache pieces.
func rules(name string, pieces int) string {
	line := name + ": an award is granted to a student who meets every rule of the trust.\n"
	return strings.Repeat(line, pieces*lrprefix.PieceBytes/len(line)+1)
}

// wantedAnswer returns the text that an engine stand-in gives to a prompt sent as one user message.
func wantedAnswer(prompt string, tokens int) string {
	return lrstub.Answer("<|user|>\n"+prompt+"\n", tokens)
}

func (c *cluster) address(zone string) string { return c.instance(routerName(zone)).Address }

func showCachedCompletion(c *cluster) (string, error) {
	key, err := c.addKey("parish-office")
	if err != nil {
		return "", err
	}
	err = waitForKey(c, key)
	if err != nil {
		return "", err
	}
	prompt := rules("rules", 8) + rules("student", 3)
	var answers [2]answer
	for n := range answers {
		answers[n], err = chat(c.address("gulf-south-a"), key, prompt, 20)
		if err != nil {
			return "", err
		}
		err = checkWhole(answers[n], prompt, 20)
		if err != nil {
			return "", err
		}
	}
	if answers[1].cachedTokens == 0 {
		return "", errors.New("the second answer had no cached tokens")
	}
	return fmt.Sprintf("cached %d then %d tokens, first token after %s then %s", answers[0].cachedTokens,
		answers[1].cachedTokens, answers[0].firstToken.Round(time.Millisecond), answers[1].firstToken.Round(time.Millisecond)), nil
}

func checkWhole(a answer, prompt string, tokens int) error {
	switch {
	case a.status != http.StatusOK:
		return fmt.Errorf("status %d: %s", a.status, a.body)
	case !a.complete:
		return fmt.Errorf("the stream did not end with [DONE]: %s", a.body)
	case a.text != wantedAnswer(prompt, tokens):
		return errors.New("the text is not the whole answer")
	}
	return nil
}

// waitForKey waits until every instance accepts the key.
func waitForKey(c *cluster, key string) error {
	return waitForStatus(c, key, http.StatusOK)
}

func waitForStatus(c *cluster, key string, status int) error {
	deadline := time.Now().Add(startTimeout)
	for _, z := range zones() {
		for {
			got, err := call(http.MethodGet, c.address(z), "/v1/models", key, "", "")
			if err == nil && got.status == status {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s answered %d instead of %d: %s", z, got.status, status, got.body)
			}
			time.Sleep(pollDelay)
		}
	}
	return nil
}

func showIdempotentCall(c *cluster) (string, error) {
	key, err := c.addKey("north-school")
	if err != nil {
		return "", err
	}
	err = waitForKey(c, key)
	if err != nil {
		return "", err
	}
	got, err := call(http.MethodGet, c.address("gulf-south-b"), "/balances/4711", key, "", "")
	if err != nil {
		return "", err
	}
	if got.status != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", got.status, got.body)
	}
	return "status 200", nil
}

func showRateLimit(c *cluster) (string, error) {
	key, err := c.addKey("essay-desk")
	if err != nil {
		return "", err
	}
	err = waitForKey(c, key)
	if err != nil {
		return "", err
	}
	body := fmt.Sprintf(`{"model":"essay-check","prompt":%q,"max_tokens":10}`, rules("essay", 20))
	for range 10 {
		got, err := call(http.MethodPost, c.address("gulf-south-a"), "/v1/completions", key, "", body)
		if err != nil {
			return "", err
		}
		if got.status == http.StatusTooManyRequests {
			return "status 429, Retry-After " + got.header.Get("Retry-After") + " s", nil
		}
	}
	return "", errors.New("no request was refused")
}

func showWithdrawnKey(c *cluster) (string, error) {
	key, err := c.addKey("south-school")
	if err != nil {
		return "", err
	}
	err = waitForKey(c, key)
	if err != nil {
		return "", err
	}
	started := time.Now()
	_, err = c.operate("keys", "withdraw", strings.Split(key, "_")[1])
	if err != nil {
		return "", err
	}
	err = waitForStatus(c, key, http.StatusUnauthorized)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("refused by every instance after %s", time.Since(started).Round(time.Millisecond)), nil
}

func showEngineCrash(c *cluster) (string, error) {
	key, err := c.addKey("river-college")
	if err != nil {
		return "", err
	}
	err = waitForKey(c, key)
	if err != nil {
		return "", err
	}
	engine := c.instance("engine-gulf-south-a").Address
	before, err := incarnation(engine)
	if err != nil {
		return "", err
	}
	err = c.setFaults(engine, lrstub.Faults{CrashAfterTokens: 10})
	if err != nil {
		return "", err
	}
	time.Sleep(loadReported)
	const streams = 12
	err = streamAll(streams, func(n int) error {
		prompt := rules(fmt.Sprint("crash ", n), 1)
		got, err := chat(c.address("gulf-south-a"), key, prompt, 30)
		if err != nil {
			return err
		}
		return checkWhole(got, prompt, 30)
	})
	if err != nil {
		return "", err
	}
	after, err := incarnation(engine)
	if err != nil {
		return "", err
	}
	if after == before {
		return "", errors.New("no stream met the crashing engine")
	}
	return fmt.Sprintf("%d of %d answers whole", streams, streams), c.setFaults(engine, lrstub.Faults{})
}

// streamAll runs the function n times side by side and returns the first error.
func streamAll(n int, stream func(n int) error) error {
	var group errgroup.Group
	for i := range n {
		group.Go(func() error { return stream(i) })
	}
	return group.Wait()
}

// incarnation returns the present incarnation of an engine stand-in.
func incarnation(engine string) (string, error) {
	load, err := lrengine.NewDialer(http.DefaultClient).Dial(engine).Load(context.Background())
	return load.Incarnation, err
}

func showGracefulStop(c *cluster) (string, error) {
	key, err := c.addKey("river-college")
	if err != nil {
		return "", err
	}
	err = waitForKey(c, key)
	if err != nil {
		return "", err
	}
	prompt := rules("graceful", 1)
	const streams = 10
	finished := make(chan error, 1)
	go func() {
		finished <- streamAll(streams, func(int) error {
			got, err := chat(c.address("gulf-south-c"), key, prompt, 200)
			if err != nil {
				return err
			}
			return checkWhole(got, prompt, 200)
		})
	}()
	time.Sleep(streamsUnderway)
	err = c.processes[routerName("gulf-south-c")].terminate()
	if err != nil {
		return "", err
	}
	err = <-finished
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d of %d streams whole, exit code 0", streams, streams), c.startRouter("gulf-south-c")
}

func showRestart(c *cluster) (string, error) {
	key, err := c.addKey("river-college")
	if err != nil {
		return "", err
	}
	err = waitForKey(c, key)
	if err != nil {
		return "", err
	}
	err = c.setFaults(c.platform, lrstub.Faults{Down: true})
	if err != nil {
		return "", err
	}
	c.processes[routerName("gulf-south-b")].kill()
	started := time.Now()
	err = c.startRouter("gulf-south-b")
	if err != nil {
		return "", err
	}
	prompt := rules("restart", 1)
	got, err := chat(c.address("gulf-south-b"), key, prompt, 20)
	if err != nil {
		return "", err
	}
	elapsed := time.Since(started)
	err = checkWhole(got, prompt, 20)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("whole answer %s after the start", elapsed.Round(time.Millisecond)), c.setFaults(c.platform, lrstub.Faults{})
}
