package lrconfig

import (
	"fmt"
	"maps"
	"slices"
)

// Validate returns an error for every reference to an unknown plan, model or adapter, each with its remedy.
func Validate(s *Snapshot) []error {
	var mistakes []error
	models := modelNames(s.Catalog())
	planNames := slices.Sorted(maps.Keys(s.Shard(ShardPlans).Plans))
	for _, p := range s.Plans() {
		mistakes = append(mistakes, validatePlan(p, models, adapterNames(s.Catalog()))...)
	}
	for _, a := range s.Accounts() {
		_, ok := s.Plan(a.Plan)
		if !ok {
			mistakes = append(mistakes, fmt.Errorf("[account %s] plan: no plan %q%s; add the plan or name another",
				a.Name, a.Plan, Suggest(a.Plan, planNames)))
		}
	}
	return mistakes
}

func validatePlan(p Plan, models, adapters []string) []error {
	var mistakes []error
	for _, m := range p.Models {
		if !slices.Contains(models, m) {
			mistakes = append(mistakes, fmt.Errorf("[plan %s] models: no model %q%s; add it to the catalog",
				p.Name, m, Suggest(m, models)))
		}
	}
	for _, a := range p.Adapters {
		if !slices.Contains(adapters, a) {
			mistakes = append(mistakes, fmt.Errorf("[plan %s] adapters: no adapter %q%s; add it to a model of the catalog",
				p.Name, a, Suggest(a, adapters)))
		}
	}
	return mistakes
}

func modelNames(c Catalog) []string {
	names := make([]string, 0, len(c.Models))
	for _, m := range c.Models {
		names = append(names, m.Name)
	}
	return names
}

func adapterNames(c Catalog) []string {
	var names []string
	for _, m := range c.Models {
		names = append(names, m.Adapters...)
	}
	return names
}
