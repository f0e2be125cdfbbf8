package lrgateway

import (
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrerror"
)

const connectionRetryAfter = time.Second

// connectionGuard limits the concurrent requests of each client account on this instance. A limit of 0 means no limit. All
// requests on open routes, which have no account, share one count.
type connectionGuard struct {
	limit int
	mutex sync.Mutex
	open  map[string]int
}

func newConnectionGuard(limit int) *connectionGuard {
	return &connectionGuard{limit: limit, open: map[string]int{}}
}

// Check counts the call as open until it ends, or refuses it at the limit.
func (c *connectionGuard) Check(_ time.Time, call *Call) error {
	account := call.Account.Name
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.limit > 0 && c.open[account] >= c.limit {
		return lrerror.New(lrerror.KindOverloaded, lrerror.NotRun,
			"client account %q has %d open requests on this instance, which is the most; retry when one has ended",
			account, c.limit).WithRetryAfter(connectionRetryAfter)
	}
	c.open[account]++
	call.addCleanup(func() { c.release(account) })
	return nil
}

func (c *connectionGuard) release(account string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.open[account]--
	if c.open[account] == 0 {
		delete(c.open, account)
	}
}
