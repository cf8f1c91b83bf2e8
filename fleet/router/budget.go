package router

import (
	"sync"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/retry"
)

// minRetries is the number of retries a second that is allowed however few
// requests there are, unless the configuration allows none at all.
const minRetries = 1.0

// budget bounds the further copies of requests for one service.
type budget struct {
	retries *retry.Budget
	hedges  *retry.Budget
}

// budgets are the budgets of all services, as the configuration in force says.
type budgets struct {
	mu        sync.Mutex
	byService map[string]*budget
}

// of returns the budget of a service.
func (b *budgets) of(service string, config *dynamic.Config) *budget {
	retries, hedges := ratios(service, config)
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.byService[service]
	if !ok {
		known = &budget{
			retries: retry.NewBudget(retries, floor(retries), nil),
			hedges:  retry.NewBudget(hedges, 0, nil),
		}
		b.byService[service] = known
		return known
	}
	known.retries.SetRates(retries, floor(retries))
	known.hedges.SetRates(hedges, 0)
	return known
}

// ratios returns the retries and hedges of a service as fractions of its fresh
// requests. Plain services are never hedged.
func ratios(service string, config *dynamic.Config) (retries, hedges float64) {
	if config != nil {
		if model, ok := config.Models[service]; ok {
			return model.RetryBudget, model.HedgeBudget
		}
	}
	return dynamic.DefaultRetryBudget, 0
}

// floor returns the retries a second that need no fresh requests.
func floor(ratio float64) float64 {
	if ratio <= 0 {
		return 0
	}
	return minRetries
}
