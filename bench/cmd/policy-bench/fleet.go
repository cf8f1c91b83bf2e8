package main

import (
	"fmt"
	"strings"
	"time"

	"cassialatch.dev/bench/internal/fleetproc"
	"cassialatch.dev/standin/engine"
)

// Configuration of the engine stand-ins. Decoding is slow enough that one machine
// can run all engines of a site.
const (
	slots           = 8
	prefillPerToken = 500 * time.Microsecond
	decodePerToken  = 20 * time.Millisecond
	batchGrowth     = 0.05
	cacheTokens     = 20_000
)

// engineConfig returns the configuration of each engine.
func engineConfig() engine.Config {
	c := engine.DefaultConfig()
	c.Slots = slots
	c.PrefillPerToken = prefillPerToken
	c.DecodePerToken = decodePerToken
	c.BatchGrowth = batchGrowth
	c.CacheTokens = cacheTokens
	return c
}

// workspaces is the number of workspaces. The first len(largeLoadTenths) are large.
const workspaces = 10

// largeLoadTenths are the tenths of the load that the large workspaces send. The
// other workspaces send the rest.
var largeLoadTenths = []int{4, 2, 1}

// workspaceOf returns the name of the i-th user's workspace.
func workspaceOf(i int) string {
	at := i % 10
	for w, tenths := range largeLoadTenths {
		if at < tenths {
			return workspaceName(w)
		}
		at -= tenths
	}
	small := workspaces - len(largeLoadTenths)
	return workspaceName(len(largeLoadTenths) + (i/10*3+at)%small)
}

// workspaceName returns the name of the i-th workspace.
func workspaceName(i int) string { return fmt.Sprintf("workspace-%d", i) }

// baseDocument returns the base document. Callers may request a less urgent class
// than that of their workspace but not a more urgent one, so all workspaces have
// class "short".
func baseDocument() string {
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
