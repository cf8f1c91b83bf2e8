package router

import (
	"sync"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/retry"
)

// minRetriesPerSec is the rate of retries that is allowed regardless of the
// number of requests, unless the configuration disables retries.
const minRetriesPerSec = 1.0

// budget bounds the retries and hedges of requests for one service.
type budget struct {
	retries *retry.Budget
	hedges  *retry.Budget
}

// budgets holds the budget of each service. It is safe for concurrent use.
type budgets struct {
	mu        sync.Mutex
	byService map[string]*budget
}

// forService returns the budget of a service, updated to the ratios of the given
// configuration.
func (b *budgets) forService(service string, config *dynamic.Config) *budget {
	retries, hedges := budgetRatios(service, config)
	b.mu.Lock()
	defer b.mu.Unlock()
	current, ok := b.byService[service]
	if !ok {
		current = &budget{
			retries: retry.NewBudget(retries, minRetryRate(retries), nil),
			hedges:  retry.NewBudget(hedges, 0, nil),
		}
		b.byService[service] = current
		return current
	}
	current.retries.SetRates(retries, minRetryRate(retries))
	current.hedges.SetRates(hedges, 0)
	return current
}

// budgetRatios returns the allowed retries and hedges of a service as fractions of
// its new requests. Services that are not models are never hedged.
func budgetRatios(service string, config *dynamic.Config) (retries, hedges float64) {
	if config != nil {
		if model, ok := config.Models[service]; ok {
			return model.RetryBudget, model.HedgeBudget
		}
	}
	return dynamic.DefaultRetryBudget, 0
}

// minRetryRate returns the rate of retries, per second, that is allowed without
// new requests.
func minRetryRate(ratio float64) float64 {
	if ratio <= 0 {
		return 0
	}
	return minRetriesPerSec
}
