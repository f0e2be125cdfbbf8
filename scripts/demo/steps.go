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

	"github.com/lavenderrouter/lavenderrouter/internal/lrcluster"
	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/internal/lrstub"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

// loadReportDelay is the time after which load reports have shown the instances that the engines are idle.
const loadReportDelay = time.Second

// streamStartDelay is the time after which the streams of a step are being decoded.
const streamStartDelay = 300 * time.Millisecond

// step is one row of the demo's table. run returns the result to print.
type step struct {
	name string
	run  func(*lrcluster.Cluster) (string, error)
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
		{"key withdrawn while an instance is paused", showPause},
	}
}

func runSteps(c *lrcluster.Cluster, steps []step) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	_, _ = fmt.Fprintln(table, "STEP\tRESULT")
	for _, s := range steps {
		result, err := s.run(c)
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\n", s.name, result)
	}
	return nil
}

// rules returns a text of at least the given number of prefix blocks.
func rules(name string, blocks int) string {
	line := name + ": an award is granted to a student who meets every rule of the trust.\n"
	return strings.Repeat(line, blocks*lrprefix.BlockBytes/len(line)+1)
}

func showCachedCompletion(c *lrcluster.Cluster) (string, error) {
	key, err := c.AddKey("parish-office")
	if err != nil {
		return "", err
	}
	prompt := rules("rules", 8) + rules("student", 3)
	var answers [2]lrcluster.Answer
	for n := range answers {
		answers[n], err = lrcluster.Chat(c.Address("gulf-south-a"), key, prompt, 20)
		if err != nil {
			return "", err
		}
		err = answers[n].CheckComplete(prompt, 20)
		if err != nil {
			return "", err
		}
	}
	if answers[1].CachedTokens == 0 {
		return "", errors.New("the second answer had no cached tokens")
	}
	return fmt.Sprintf("cached %d then %d tokens, first token after %s then %s", answers[0].CachedTokens,
		answers[1].CachedTokens, answers[0].FirstToken.Round(time.Millisecond), answers[1].FirstToken.Round(time.Millisecond)), nil
}

func showIdempotentCall(c *lrcluster.Cluster) (string, error) {
	key, err := c.AddKey("north-school")
	if err != nil {
		return "", err
	}
	got, err := lrcluster.Call(http.MethodGet, c.Address("gulf-south-b"), "/balances/4711", key, "", "")
	if err != nil {
		return "", err
	}
	if got.Status != http.StatusOK {
		return "", fmt.Errorf("status %d: %s", got.Status, got.Body)
	}
	return "status 200", nil
}

func showRateLimit(c *lrcluster.Cluster) (string, error) {
	key, err := c.AddKey("essay-desk")
	if err != nil {
		return "", err
	}
	body := fmt.Sprintf(`{"model":"essay-check","prompt":%q,"max_tokens":10}`, rules("essay", 20))
	for range 10 {
		got, err := lrcluster.Call(http.MethodPost, c.Address("gulf-south-a"), "/v1/completions", key, "", body)
		if err != nil {
			return "", err
		}
		if got.Status == http.StatusTooManyRequests {
			return "status 429, Retry-After " + got.Header.Get("Retry-After") + " s", nil
		}
	}
	return "", errors.New("no request was refused")
}

func showWithdrawnKey(c *lrcluster.Cluster) (string, error) {
	key, err := c.AddKey("south-school")
	if err != nil {
		return "", err
	}
	started := time.Now()
	_, err = c.RunCommand("keys", "withdraw", strings.Split(key, "_")[1])
	if err != nil {
		return "", err
	}
	err = c.AwaitKey(key, http.StatusUnauthorized)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("refused by every instance after %s", time.Since(started).Round(time.Millisecond)), nil
}

func showEngineCrash(c *lrcluster.Cluster) (string, error) {
	key, err := c.AddKey("river-college")
	if err != nil {
		return "", err
	}
	engine := c.Instance("engine-gulf-south-a").Address
	before, err := incarnation(engine)
	if err != nil {
		return "", err
	}
	err = c.SetFaults(engine, lrstub.Faults{CrashAfterTokens: 10})
	if err != nil {
		return "", err
	}
	time.Sleep(loadReportDelay)
	const streams = 12
	err = streamAll(streams, func(n int) error {
		prompt := rules(fmt.Sprint("crash ", n), 1)
		got, err := lrcluster.Chat(c.Address("gulf-south-a"), key, prompt, 30)
		if err != nil {
			return err
		}
		return got.CheckComplete(prompt, 30)
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
	return fmt.Sprintf("%d of %d answers whole", streams, streams), c.SetFaults(engine, lrstub.Faults{})
}

// streamAll runs the function n times concurrently and returns the first error.
func streamAll(n int, stream func(n int) error) error {
	var group errgroup.Group
	for i := range n {
		group.Go(func() error { return stream(i) })
	}
	return group.Wait()
}

// incarnation returns the current incarnation of an engine stand-in, which changes when it restarts.
func incarnation(engine string) (string, error) {
	load, err := lrengine.NewDialer(http.DefaultClient).Dial(engine).Load(context.Background())
	return load.Incarnation, err
}

func showGracefulStop(c *lrcluster.Cluster) (string, error) {
	key, err := c.AddKey("river-college")
	if err != nil {
		return "", err
	}
	prompt := rules("graceful", 1)
	const streams = 10
	finished := make(chan error, 1)
	go func() {
		finished <- streamAll(streams, func(int) error {
			got, err := lrcluster.Chat(c.Address("gulf-south-c"), key, prompt, 200)
			if err != nil {
				return err
			}
			return got.CheckComplete(prompt, 200)
		})
	}()
	time.Sleep(streamStartDelay)
	err = c.StopRouter("gulf-south-c")
	if err != nil {
		return "", err
	}
	err = <-finished
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d of %d streams whole, exit code 0", streams, streams), c.StartRouter("gulf-south-c")
}

func showRestart(c *lrcluster.Cluster) (string, error) {
	key, err := c.AddKey("river-college")
	if err != nil {
		return "", err
	}
	err = c.SetFaults(c.Platform(), lrstub.Faults{Down: true})
	if err != nil {
		return "", err
	}
	c.KillRouter("gulf-south-b")
	started := time.Now()
	err = c.StartRouter("gulf-south-b")
	if err != nil {
		return "", err
	}
	prompt := rules("restart", 1)
	got, err := lrcluster.Chat(c.Address("gulf-south-b"), key, prompt, 20)
	if err != nil {
		return "", err
	}
	elapsed := time.Since(started)
	err = got.CheckComplete(prompt, 20)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("whole answer %s after the start", elapsed.Round(time.Millisecond)), c.SetFaults(c.Platform(), lrstub.Faults{})
}
