package lrpipeline

import (
	"strconv"
	"strings"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
)

// A CachedPart is a part of a prompt that an engine or a kept store holds.
type CachedPart struct {
	// Scope is the cache scope under which it is held.
	Scope string
	Model string
	ID    string
}

// Key returns the key of the part for the balancer. It reports false where the scope is none of the router's.
func (p CachedPart) Key() (lrbalance.Key, bool) {
	end := strings.LastIndexByte(p.Scope, '.')
	if end < 0 {
		return 0, false
	}
	version, err := strconv.ParseInt(p.Scope[end+1:], 10, 64)
	if err != nil {
		return 0, false
	}
	return lrbalance.KeyOf(balanceScope(p.Scope[:end], p.Model), version, p.ID), true
}

// scopeOf returns the cache scope of an account under a version of the weights.
func scopeOf(account string, version int64) string {
	return account + "." + strconv.FormatInt(version, 10)
}

// balanceScope returns the scope that the balancer keeps caches apart by, beside the version of the weights.
func balanceScope(account, model string) string { return account + "/" + model }
