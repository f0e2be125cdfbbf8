package lredge

import (
	"sync"
	"time"

	"github.com/lavenderrouter/lavenderrouter/pkg/lrretry"
	"github.com/lavenderrouter/lavenderrouter/pkg/lrsettings"
)

// budgets bound repeats for each service. Each instance may use its part of what all together may send.
type budgets struct {
	settings  lrsettings.Retries
	instances func() int
	// count notes each question and its answer.
	count    func(service string, granted bool)
	mutex    sync.Mutex
	services map[string]*lrretry.WindowBudget
}

func newBudgets(settings lrsettings.Retries, instances func() int, count func(service string, granted bool)) *budgets {
	return &budgets{settings: settings, instances: instances, count: count, services: map[string]*lrretry.WindowBudget{}}
}

func (b *budgets) of(service string) *lrretry.WindowBudget {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	budget, ok := b.services[service]
	if !ok {
		budget = lrretry.NewWindowBudget(b.settings.Share*budgetCaution, b.settings.Window)
		b.services[service] = budget
	}
	return budget
}

// budgetCaution is the part of the allowed share that is used, since windows of instances are not the same.
const budgetCaution = 0.9

// Earn counts the first sending of a request.
func (b *budgets) Earn(now time.Time, service string) { b.of(service).Earn(now) }

// Spend takes one repeat and reports whether there was one.
func (b *budgets) Spend(now time.Time, service string) bool {
	granted := b.of(service).Spend(now, float64(b.settings.Extra)/float64(b.instances()+1))
	b.count(service, granted)
	return granted
}
