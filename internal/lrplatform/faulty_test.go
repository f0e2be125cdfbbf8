package lrplatform

import (
	"context"
	"testing"
)

func TestFaultyPlatform(t *testing.T) {
	cases := []struct {
		name    string
		fault   StoreFault
		unknown bool
		stored  string
	}{
		{"no fault", StoreFault{}, false, "new"},
		{"lost write", StoreFault{LoseWrite: true}, true, "old"},
		{"lost reply", StoreFault{LoseReply: true}, true, "new"},
		{"outage", StoreFault{Unavailable: true}, false, "old"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, memory := context.Background(), NewMemory()
			object, err := memory.Create(ctx, KindStatus, "a", []byte("old"))
			if err != nil {
				t.Fatal(err)
			}
			store := NewFaultyPlatform(memory, func(StoreCall) StoreFault { return c.fault })
			_, err = store.Update(ctx, object.WithValue([]byte("new")))
			if ErrUnknown.Has(err) != c.unknown {
				t.Fatalf("error: %v", err)
			}
			stored, _ := memory.Get(ctx, KindStatus, "a")
			if string(stored.Value) != c.stored {
				t.Fatalf("stored: %s, want %s", stored.Value, c.stored)
			}
		})
	}
}

func TestFaultyPlatformReturnsStaleObject(t *testing.T) {
	ctx, memory := context.Background(), NewMemory()
	object, _ := memory.Create(ctx, KindStatus, "a", []byte("old"))
	stale := false
	store := NewFaultyPlatform(memory, func(StoreCall) StoreFault { return StoreFault{Stale: stale} })
	_, _ = store.Get(ctx, KindStatus, "a")
	_, _ = memory.Update(ctx, object.WithValue([]byte("new")))
	for _, want := range []string{"new", "old"} {
		got, err := store.Get(ctx, KindStatus, "a")
		if err != nil || string(got.Value) != want {
			t.Fatalf("got %s, %v, want %s", got.Value, err, want)
		}
		stale = true
	}
}
