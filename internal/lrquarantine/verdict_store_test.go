package lrquarantine

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
)

// TestVerdictStoreKeepsTheHighestVersion guards against an instance that stores its older verdict over a newer one, so that after a restart
// of all instances a part is rejected that was found to be sound, or sent that crashes engines.
func TestVerdictStoreKeepsTheHighestVersion(t *testing.T) {
	ctx := context.Background()
	store := VerdictStore{Objects: lrplatform.NewMemory(), Kind: "verdicts", Prefix: "p-"}
	save := func(v lrquarantine.Verdict) {
		t.Helper()
		err := store.Save(ctx, v, v)
		if err != nil {
			t.Fatal(err)
		}
	}
	requireStored := func(want lrquarantine.Verdict) {
		t.Helper()
		object, err := store.Objects.Get(ctx, "verdicts", "p-"+want.Trait.String())
		if err != nil {
			t.Fatal(err)
		}
		var got lrquarantine.Verdict
		err = json.Unmarshal(object.Value, &got)
		if err != nil || got != want {
			t.Fatalf("stored: got %+v, want %+v (%v)", got, want, err)
		}
	}
	first := lrquarantine.Verdict{Trait: 7, Version: 1, IsQuarantined: true, Crashes: 3}
	lifted := lrquarantine.Verdict{Trait: 7, Version: 3}
	save(first)
	requireStored(first)
	save(lifted)
	requireStored(lifted)
	save(first)
	requireStored(lifted)
	for range 2 {
		err := store.Delete(ctx, first.Trait)
		if err != nil {
			t.Fatal(err)
		}
	}
	_, err := store.Objects.Get(ctx, "verdicts", "p-"+first.Trait.String())
	if !lrplatform.ErrNotFound.Has(err) {
		t.Fatalf("after the deletion: got %v, want ErrNotFound", err)
	}
}
