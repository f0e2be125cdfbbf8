package lrtable

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
)

// A Table answers lookups in one Spec. It is immutable.
type Table struct {
	spec     Spec
	byHost   map[string][]Route
	byKey    map[string]Account
	services map[string]Service
}

// New returns the Table of the spec.
func New(spec Spec) *Table {
	t := &Table{spec: spec, byHost: map[string][]Route{}, byKey: map[string]Account{}, services: map[string]Service{}}
	for _, r := range spec.Routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	for _, a := range spec.Accounts {
		for _, k := range a.Keys {
			t.byKey[k] = a
		}
	}
	for _, s := range spec.Services {
		t.services[s.Name] = s
	}
	return t
}

// Spec returns the spec from which the table was built.
func (t *Table) Spec() Spec { return t.spec }

// Version returns the version of the spec.
func (t *Table) Version() uint64 { return t.spec.Version }

// Match returns the route of the host with the longest path prefix that matches the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return Route{}, false
}

// NeedsKey reports whether requests of the route must carry an API key.
func (t *Table) NeedsKey(route Route) bool {
	return !route.Public && (t.spec.RequiresKeys || len(t.spec.Accounts) > 0)
}

// AccountOf returns the client account to which the API key belongs.
func (t *Table) AccountOf(key string) (Account, bool) {
	a, ok := t.byKey[key]
	return a, ok
}

// Service returns the service with the name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// KVStores returns the KV stores. The caller must not modify the slice.
func (t *Table) KVStores() []KVStore { return t.spec.KVStores }

// Target returns the name of the service for the request with the identity, or an empty string when no target has a
// weight. Equal identities get the same service.
func (r Route) Target(identity string) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(identity))
	point := int(hash.Sum64() % uint64(total))
	for _, t := range r.Targets {
		point -= max(t.Weight, 0)
		if point < 0 {
			return t.Service
		}
	}
	return ""
}

// IsRetryable reports whether a request of the route may be sent again after an attempt that may have been processed.
func (r Route) IsRetryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// maxPriority is the highest plausible priority.
const maxPriority = 9

// HasUsableTarget reports whether the requests of the route can be compared with their target: it can be met within the timeout, and the
// priority is plausible.
func (r Route) HasUsableTarget() bool {
	return r.TargetLatency > 0 && (r.Timeout <= 0 || r.TargetLatency <= r.Timeout) && r.Priority >= 0 && r.Priority <= maxPriority
}

// PriorityOf returns the priority of the account's requests on the route. The lowest value is served first.
func (r Route) PriorityOf(account Account) int {
	if account.Priority != nil {
		return *account.Priority
	}
	return r.Priority
}
