package main

import (
	"fmt"
	"strings"
	"time"

	"cassialatch.dev/bench/internal/fleetproc"
	"cassialatch.dev/standin/engine"
)

// Behaviour of the engines. Decoding is slow enough that the machine carries
// all engines of a site.
const (
	slots           = 8
	prefillPerToken = 500 * time.Microsecond
	decodePerToken  = 20 * time.Millisecond
	batchGrowth     = 0.05
	cacheTokens     = 20_000
)

// engineConfig returns the behaviour of each engine.
func engineConfig() engine.Config {
	c := engine.DefaultConfig()
	c.Slots = slots
	c.PrefillPerToken = prefillPerToken
	c.DecodePerToken = decodePerToken
	c.BatchGrowth = batchGrowth
	c.CacheTokens = cacheTokens
	return c
}

// workspaces is how many there are; the first few are large.
const workspaces = 10

// shares are the parts of ten that the large workspaces have of the load; the
// others share what is left.
var shares = []int{4, 2, 1}

// workspaceOf returns the workspace of the i-th user.
func workspaceOf(i int) string {
	at := i % 10
	for w, share := range shares {
		if at < share {
			return workspaceName(w)
		}
		at -= share
	}
	small := workspaces - len(shares)
	return workspaceName(len(shares) + (i/10*3+at)%small)
}

// workspaceName returns the name of a workspace.
func workspaceName(i int) string { return fmt.Sprintf("workspace-%d", i) }

// base returns the base document. Callers may name a less urgent class than
// their workspace has, never a more urgent one, so all workspaces are short.
func base() string {
	var b strings.Builder
	fmt.Fprintf(&b, `[models.%s]
load_factor = 1.25
min_in_flight = 2
max_in_flight = %d
short_reserve = 1
queue_timeout = "5s"
deadline = "20s"

[services.%s]
max_in_flight = 32
queue_timeout = "5s"
deadline = "10s"
`, fleetproc.Model, slots, fleetproc.Service)
	for i := range workspaces {
		fmt.Fprintf(&b, "\n[workspaces.%s]\nmodels = [%q]\nservices = [%q]\nclass = \"short\"\n",
			workspaceName(i), fleetproc.Model, fleetproc.Service)
	}
	return b.String()
}
