package lrroute

import (
	"fmt"
	"testing"
	"time"
)

func TestOnlyComputedBlocksAreImported(t *testing.T) {
	n := newTestNested(12, WithZone("zone-a"))
	n.SetKVStores(testStart(), []KVStore{{Address: "far", Zone: "zone-b"}, {Address: "near", Zone: "zone-a"}})
	chain := testChain("parish-office", 6, 11, 1)
	requireEqual(t, mustServe(t, n, testStart(), testRequest("1", chain)).ImportFrom, "", "store for blocks that no engine has computed")
	now := testStart().Add(2 * time.Second)
	requireEqual(t, mustServe(t, n, now, testRequest("2", chain)).ImportFrom, "near", "store")
	other := testRequest("3", testChain("north-school", 6, 11, 1))
	requireEqual(t, mustServe(t, n, now, other).ImportFrom, "", "store for blocks of another account")
	newer := testRequest("4", testChain("parish-office/version-2", 6, 11, 1))
	requireEqual(t, mustServe(t, n, now, newer).ImportFrom, "", "store for blocks of another weights version")
}

func TestImportAllowsLessLoadedEngine(t *testing.T) {
	engineAfter := func(stores []KVStore) (string, string) {
		n := newTestNested(12)
		n.SetKVStores(testStart(), stores)
		chain := testChain("parish-office", 6, 11, 1)
		first := mustServe(t, n, testStart(), testRequest("1", chain)).Engine
		engines := testEngines(12, testStart().Add(2*time.Second))
		for k := range engines {
			if engines[k].Name == first {
				engines[k].QueuedTokens = 15000
			}
		}
		n.SetEngines(testStart().Add(2*time.Second), testModel, engines)
		return first, mustPlace(t, n, testStart().Add(2*time.Second), testRequest("2", chain)).Engine
	}
	first, second := engineAfter(nil)
	requireEqual(t, second, first, "engine without a store")
	first, second = engineAfter([]KVStore{{Address: "near"}})
	requireEqual(t, second != first, true, "another engine was chosen")
}

func TestKVStoreWithoutHitsIsRetriedLater(t *testing.T) {
	n := newTestNested(12)
	n.SetKVStores(testStart(), []KVStore{{Address: "near"}})
	chain := testChain("parish-office", 6, 11, 1)
	_ = mustServe(t, n, testStart(), testRequest("first", chain))
	for k := range 100 {
		n.kvStore.observeImport(testStart().Add(time.Duration(k)*time.Millisecond), 5, 0)
	}
	now := testStart().Add(time.Second)
	requireEqual(t, mustServe(t, n, now, testRequest("2", chain)).ImportFrom, "", "store without hits")
	requireEqual(t, mustServe(t, n, now.Add(2*importRetryInterval), testRequest(fmt.Sprint(3), chain)).ImportFrom, "near", "store after the retry interval")
}
