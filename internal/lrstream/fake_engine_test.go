package lrstream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/internal/lrengine"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrroute"
)

type faultKind int

const (
	faultNone faultKind = iota
	faultCrash
	faultFreeze
	faultSkip
	faultRepeat
	faultWrongRequest
	faultLateEvent
	faultRefuse
	faultNotSent
	faultExtraTokens
	faultKinds
)

// fakeFleet is a set of engines that fail at random. It is also the placer that chooses among them.
type fakeFleet struct {
	mutex     sync.Mutex
	random    *rand.Rand
	names     []string
	faultRate float64
	received  map[string]int
	placed    []string
	// nextFaults sets the faults of the next attempts, before any random ones.
	nextFaults []faultKind
	// crashPrompt is a prompt that crashes every engine that receives it.
	crashPrompt string
	// crashText crashes every engine that receives a prompt with it. crashes counts these crashes.
	crashText string
	crashes   int
	// failBeforeFirstEvent makes faults occur before the first event instead of at a random one.
	failBeforeFirstEvent bool
}

func newFakeFleet(seed uint64, faultRate float64, names ...string) *fakeFleet {
	return &fakeFleet{random: rand.New(rand.NewPCG(seed, 7)), names: names, faultRate: faultRate, received: map[string]int{}}
}

func (f *fakeFleet) Engine(name string) (lrengine.Engine, bool) {
	return &fakeEngine{fleet: f, name: name}, true
}

func (f *fakeFleet) Place(_ time.Time, request lrroute.Request) (lrroute.Placement, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, n := range f.random.Perm(len(f.names)) {
		if !contains(request.Excluded, f.names[n]) {
			f.placed = append(f.placed, f.names[n])
			return lrroute.Placement{Engine: f.names[n]}, true
		}
	}
	return lrroute.Placement{}, false
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func (f *fakeFleet) Learn(time.Time, lrroute.Feedback)              {}
func (f *fakeFleet) Finish(time.Time, string, lrroute.Request)      {}
func (f *fakeFleet) SetEngines(time.Time, string, []lrroute.Engine) {}
func (f *fakeFleet) drawFault(request lrengine.Request) (faultKind, int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	kind := faultNone
	switch {
	case len(f.nextFaults) > 0:
		kind, f.nextFaults = f.nextFaults[0], f.nextFaults[1:]
	case f.crashPrompt != "" && request.Prompt == f.crashPrompt:
		kind = faultCrash
	case f.crashText != "" && strings.Contains(request.Prompt, f.crashText):
		f.crashes++
		kind = faultCrash
	case f.random.Float64() < f.faultRate:
		kind = 1 + faultKind(f.random.IntN(int(faultKinds)-1))
	}
	if kind != faultRefuse && kind != faultNotSent {
		f.received[request.RequestID]++
	}
	if f.failBeforeFirstEvent {
		return kind, request.ResumeFrom
	}
	return kind, request.ResumeFrom + f.random.IntN(request.MaxTokens-request.ResumeFrom+1)
}

// fakeEngine is one engine of a fakeFleet.
type fakeEngine struct {
	lrengine.Engine
	fleet *fakeFleet
	name  string
}

func (e *fakeEngine) Cancel(context.Context, string) error { return nil }

func (e *fakeEngine) Generate(ctx context.Context, request lrengine.Request) (lrengine.Stream, error) {
	kind, at := e.fleet.drawFault(request)
	switch {
	case kind == faultRefuse:
		return nil, lrengine.ErrRefused.New("busy")
	case kind == faultNotSent:
		return nil, lrengine.ErrNotSent.New("refused")
	case request.Generated != completeAnswer(request.ResumeFrom):
		return nil, lrengine.ErrFailed.New("resumed after %q at %d", request.Generated, request.ResumeFrom)
	}
	return &fakeStream{ctx: ctx, request: request, kind: kind, at: at, next: request.ResumeFrom, incarnation: e.name}, nil
}

type fakeStream struct {
	ctx         context.Context
	request     lrengine.Request
	kind        faultKind
	at          int
	next        int
	incarnation string
}

func (s *fakeStream) Close() error { return nil }

func (s *fakeStream) Next() (lrengine.Event, error) {
	event := lrengine.Event{RequestID: s.request.RequestID, Sequence: s.next, Text: fakeToken(s.next), Incarnation: s.incarnation}
	kind := s.kind
	if s.next != s.at {
		kind = faultNone
	}
	switch kind {
	case faultCrash:
		return event, lrengine.ErrBroken.New("connection reset")
	case faultFreeze:
		<-s.ctx.Done()
		return event, lrengine.ErrBroken.Wrap(s.ctx.Err())
	case faultSkip:
		s.next++
		event.Sequence, event.Text = s.next, fakeToken(s.next)
	case faultRepeat:
		s.next = max(s.next-1, 0)
		event.Sequence, event.Text = s.next, fakeToken(s.next)
	case faultWrongRequest:
		event.RequestID = "another.0"
	case faultLateEvent:
		event.RequestID = strings.TrimSuffix(event.RequestID, ".1") + ".0"
		event.Text = "late"
	case faultExtraTokens:
		s.request.MaxTokens++
	}
	return s.advance(event)
}

func (s *fakeStream) advance(event lrengine.Event) (lrengine.Event, error) {
	if s.next >= s.request.MaxTokens {
		event.Done, event.Text, event.FinishReason = true, "", finishReasonLength
	}
	s.next++
	return event, nil
}

func fakeToken(n int) string { return fmt.Sprintf("t%d ", n) }

func completeAnswer(tokens int) string {
	var text strings.Builder
	for n := range tokens {
		_, _ = text.WriteString(fakeToken(n))
	}
	return text.String()
}
