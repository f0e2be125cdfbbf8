package lrpipeline

import (
	"strconv"
	"strings"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrbalance"
)

// A CachedBlock identifies a prompt block that an engine or a KV store has cached.
type CachedBlock struct {
	// Scope is the cache scope under which the block is cached.
	Scope string
	Model string
	ID    string
}

// Key returns the balancer's key for the block. It reports false when the scope is not of the form that scopeOf
// returns, such as that of another client of the engine.
func (p CachedBlock) Key() (lrbalance.Key, bool) {
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

// scopeOf returns the cache scope of an account and a weights version.
func scopeOf(account string, version int64) string {
	return account + "." + strconv.FormatInt(version, 10)
}

// balanceScope returns the scope by which the balancer keeps caches apart. The weights version is part of the balancer's key, not of
// this scope.
func balanceScope(account, model string) string { return account + "/" + model }
