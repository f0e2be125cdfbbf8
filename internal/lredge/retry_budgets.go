package lredge

import (
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

// retryBudgets limit the retries to each backend service. Each instance may use its share of what all instances together may send.
type retryBudgets struct {
	settings  lrsettings.Retries
	instances func() int
	// onSpend is called with the decision on each retry.
	onSpend  func(service string, granted bool)
	mutex    sync.Mutex
	services map[string]*lrretry.WindowBudget
}

func newRetryBudgets(settings lrsettings.Retries, instances func() int, onSpend func(service string, granted bool)) *retryBudgets {
	return &retryBudgets{settings: settings, instances: instances, onSpend: onSpend, services: map[string]*lrretry.WindowBudget{}}
}

// forService returns the budget of the service, which is created at its first use.
func (b *retryBudgets) forService(service string) *lrretry.WindowBudget {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	budget, ok := b.services[service]
	if !ok {
		budget = lrretry.NewWindowBudget(b.settings.Share*budgetSafetyFactor, b.settings.Window)
		b.services[service] = budget
	}
	return budget
}

// budgetSafetyFactor is the fraction of the allowed share that is used, since the windows of different instances are not aligned.
const budgetSafetyFactor = 0.9

// Earn counts the first attempt of a request.
func (b *retryBudgets) Earn(now time.Time, service string) { b.forService(service).Earn(now) }

// Spend takes one retry from the budget of the service and reports whether the budget allowed it.
func (b *retryBudgets) Spend(now time.Time, service string) bool {
	granted := b.forService(service).Spend(now, float64(b.settings.Extra)/float64(b.instances()+1))
	b.onSpend(service, granted)
	return granted
}
