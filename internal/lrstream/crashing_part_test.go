package lrstream

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
)

// block returns the text of a whole block of a prompt.
func block(name string) string { return name + strings.Repeat(".", lrprefix.BlockBytes-len(name)) }

// TestPartOfPromptThatCrashesEnginesIsStopped guards against the failure that unlike requests crash one engine after the other because they
// share a part of the prompt that the engines crash on.
func TestPartOfPromptThatCrashesEnginesIsStopped(t *testing.T) {
	const (
		rounds       = 120
		roundLength  = 150 * time.Millisecond
		crashes      = 5
		detection    = 3 * time.Second
		maxSentAfter = 3
	)
	fleet := newFakeFleet(1, 0, "a", "b", "c", "d", "e", "f")
	fleet.crashText = "crashing"
	now := time.Unix(1000, 0)
	runner := NewRunner(fleet, fleet, func() time.Time {
		now = now.Add(time.Millisecond)
		return now
	}, Options{MaxAttempts: 4, EventTimeout: time.Second, Budget: lrretry.NewBudget(10, 1e6), Backoff: lrretry.Backoff{Max: 1}}, zerolog.Nop())
	run := func(prompt string) error {
		job := Job{Engine: lrengine.Request{RequestID: fmt.Sprint("r", now.UnixNano()), Prompt: prompt, MaxTokens: 3}}
		_, err := runner.Run(context.Background(), job, &textSink{})
		return err
	}
	fifthAt, late := time.Time{}, 0
	for n := range rounds {
		now = now.Add(roundLength)
		before := fleet.crashes
		_ = run(block("first") + block("crashing") + fmt.Sprint("own ", n))
		if !fifthAt.IsZero() && now.After(fifthAt.Add(detection)) {
			late += fleet.crashes - before
		}
		if fifthAt.IsZero() && fleet.crashes >= crashes {
			fifthAt = now
		}
		for _, second := range []string{"second", "other"} {
			requireNoError(t, run(block("first")+block(second)+fmt.Sprint("sound ", n)))
		}
	}
	if late > maxSentAfter {
		t.Fatalf("%d requests with the part reached engines later than %s after the fifth crash, of %d in all", late, detection, fleet.crashes)
	}
}
