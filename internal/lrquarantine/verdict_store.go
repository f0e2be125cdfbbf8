package lrquarantine

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrquarantine"
)

// A VerdictStore keeps verdicts in the platform, each under its trait.
type VerdictStore struct {
	Objects lrplatform.Objects
	// Kind is the kind of the objects, and Prefix begins their names.
	Kind   string
	Prefix string
}

// Save stores the value of a verdict, unless one of the same or a higher version is stored. The value is a JSON object that has the fields
// of the verdict.
func (s VerdictStore) Save(ctx context.Context, v lrquarantine.Verdict, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode verdict: %w", err)
	}
	name := s.name(v.Trait)
	_, err = s.Objects.Create(ctx, s.Kind, name, data)
	if !lrplatform.ErrConflict.Has(err) {
		return err
	}
	object, err := s.Objects.Get(ctx, s.Kind, name)
	if err != nil {
		return err
	}
	var stored lrquarantine.Verdict
	err = json.Unmarshal(object.Value, &stored)
	if err == nil && stored.Version >= v.Version {
		return nil
	}
	_, err = s.Objects.Update(ctx, object.WithValue(data))
	return err
}

// Delete removes the verdict on the trait.
func (s VerdictStore) Delete(ctx context.Context, trait lrquarantine.Trait) error {
	object, err := s.Objects.Get(ctx, s.Kind, s.name(trait))
	if lrplatform.ErrNotFound.Has(err) {
		return nil
	}
	if err != nil {
		return err
	}
	return s.Objects.Delete(ctx, object)
}

func (s VerdictStore) name(trait lrquarantine.Trait) string { return s.Prefix + trait.String() }
