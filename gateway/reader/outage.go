package reader

import (
	"slices"

	"cassialatch.dev/gateway/catalog"
)

// recordFailure records a failed poll.
func (r *Reader) recordFailure(err error) {
	r.members.SetStoreReachable(false)
	age, _ := r.catalog.Age()
	if r.members.HasMajority() {
		r.maxFailedAge = max(r.maxFailedAge, age)
	}
	if r.failing {
		return
	}
	r.failing = true
	r.failedAt = r.clock()
	r.log.StoreUnavailable(err, age)
}

// recordSuccess records a successful poll. After an outage of the whole store it
// retains the servers known so far for retainGrace.
func (r *Reader) recordSuccess() {
	now := r.clock()
	r.members.SetStoreReachable(true)
	if r.failing {
		outage := now.Sub(r.failedAt)
		r.log.StoreAvailable(outage)
		if outage >= minOutage && r.storeWasUnavailable() {
			r.retainUntil = now.Add(retainGrace)
			r.retained = r.catalog.State().Servers
		}
	}
	r.failing = false
	r.maxFailedAge = 0
}

// storeWasUnavailable reports whether no daemon could read the store, rather than
// this one alone. This requires that a majority of the daemons is alive, and that
// the state has not been confirmed for minOutage or had reached outageAge at a
// failed poll of this outage.
func (r *Reader) storeWasUnavailable() bool {
	age, known := r.catalog.Age()
	if !known || !r.members.HasMajority() {
		return false
	}
	return age >= minOutage || r.maxFailedAge >= outageAge
}

// withRetained returns the listed servers and, until retainUntil, the servers
// that were known before an outage: their entries may have expired only because
// the store was unavailable.
func (r *Reader) withRetained(listed []catalog.Server) []catalog.Server {
	if r.retained == nil {
		return listed
	}
	if r.clock() >= r.retainUntil {
		r.retained = nil
		return listed
	}
	all := slices.Clone(listed)
	for _, old := range r.retained {
		if !isListed(listed, old) {
			all = append(all, old)
		}
	}
	catalog.SortServers(all)
	return all
}

// isListed reports whether a listed server has the ID or the address of the old
// one. In that case the old server is available again or has been replaced.
func isListed(listed []catalog.Server, old catalog.Server) bool {
	return slices.ContainsFunc(listed, func(s catalog.Server) bool {
		return s.ID == old.ID || s.Address == old.Address
	})
}
