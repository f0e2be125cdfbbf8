package lrsupervise

import (
	"context"
	"errors"
	"testing"

	"github.com/rs/zerolog"
)

func TestFailedDutyIsRestarted(t *testing.T) {
	cases := []struct {
		name string
		fail func() error
	}{
		{"error", func() error { return errors.New("broken") }},
		{"early return", func() error { return nil }},
		{"panic", func() error { panic("broken") }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			supervisor := New("test", zerolog.Nop())
			ctx, cancel := context.WithCancel(context.Background())
			starts := 0
			supervisor.Add("duty", func(ctx context.Context) error {
				starts++
				if starts == 1 {
					return c.fail()
				}
				cancel()
				<-ctx.Done()
				return nil
			})
			_ = supervisor.Run(ctx)
			requireDone(t, supervisor)
			if starts != 2 {
				t.Fatalf("starts: got %d, want 2", starts)
			}
		})
	}
}

func TestSupervisorsFormATree(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	child := New("child", zerolog.Nop())
	child.Add("duty", func(ctx context.Context) error {
		cancel()
		<-ctx.Done()
		return nil
	})
	root := New("root", zerolog.Nop())
	root.Add("child", child.Run)
	_ = root.Run(ctx)
	requireDone(t, root)
	requireDone(t, child)
}

func requireDone(t *testing.T, s *Supervisor) {
	t.Helper()
	select {
	case <-s.Done():
	default:
		t.Fatal("the done channel is open after Run has returned")
	}
}
