package lrroute

import (
	"slices"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrprefix"
)

const (
	// importDelay is the time that an import takes at least.
	importDelay = 5 * time.Millisecond
	// firstImportTrust is the part of the known pieces that is expected in the store before any answer told.
	firstImportTrust = 0.9
	// leastImportTrust is the part below which an import is not worth its attempt.
	leastImportTrust = 0.3
	// importRetry is the time after which a store that held too little is tried again.
	importRetry = 10 * time.Second
)

// A Store is a kept-KV store from which engines import pieces.
type Store struct {
	Address string
	Zone    string
}

// keptStore is what is known of the kept-KV store in use.
type keptStore struct {
	address string
	// trust is the part of the wanted pieces that answers showed to be imported.
	trust    float64
	judgedAt time.Time
}

// SetStores replaces the kept-KV stores. The first one of the own zone is used, or else the first of any zone.
func (n *Nested) SetStores(now time.Time, stores []Store) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	address := ""
	if len(stores) > 0 {
		near := slices.IndexFunc(stores, func(s Store) bool { return s.Zone == n.options.zone })
		address = stores[max(0, near)].Address
	}
	if address != n.store.address {
		n.store = keptStore{address: address, trust: firstImportTrust, judgedAt: now}
	}
}

// expected returns the part of the wanted pieces that an import is expected to bring. A store that brought too little
// is tried again after a while.
func (k *keptStore) expected(now time.Time) float64 {
	switch {
	case k.address == "":
		return 0
	case k.trust < leastImportTrust && now.Sub(k.judgedAt) > importRetry:
		return firstImportTrust
	default:
		return k.trust
	}
}

// judge moves the trust towards the part of the wanted pieces that was imported.
func (k *keptStore) judge(now time.Time, wanted, imported int) {
	if wanted > 0 {
		part := min(1, max(0, float64(imported)/float64(wanted)))
		k.trust += trustStep * (part - k.trust)
		k.judgedAt = now
	}
}

// importSaving returns what an import saves the candidate, which is not positive when computing is cheaper.
func (n *Nested) importSaving(now time.Time, c *candidate) time.Duration {
	wanted := n.importable(c)
	if wanted == 0 || n.store.address == "" {
		return 0
	}
	saved := float64(wanted*lrprefix.PieceTokens) * float64(n.perToken)
	return time.Duration(saved*(n.store.expected(now)-n.options.importCost)) - importDelay
}

// importFrom returns the store from which the engine shall import what it misses of the known pieces. The engine is
// told also when it is believed to hold them, because it may have lost them since.
func (n *Nested) importFrom(now time.Time) string {
	if n.scratch.known == 0 || n.store.expected(now) <= n.options.importCost {
		return ""
	}
	return n.store.address
}

// importable returns the number of pieces that some engine has computed and this one is not believed to hold.
func (n *Nested) importable(c *candidate) int {
	return max(0, n.scratch.known-c.held)
}
