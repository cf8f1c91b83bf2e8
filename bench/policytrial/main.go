// Command policytrial compares planners of package placement on simulated backend
// servers. The entries of the simulation see the loads of the servers with a
// delay. The figures are trials for decisions about the policy; they do not
// predict the behavior of a fleet.
package main

import (
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"cassialatch.dev/fleet/placement"
)

// Parameters of the simulation.
const (
	servers           = 20
	slots             = 8 // requests that one server can run at the same time
	minLimit          = 2
	loadFactor        = 1.25
	entries           = 9 // each with its own view of the loads
	chats             = 1200
	firstPromptTokens = 500
	turnTokens        = 300 // added to the prompt by each turn
	maxPromptTokens   = 8000
	cacheTokens       = 400_000                // per server
	prefill           = 250 * time.Microsecond // per token
	decode            = 2 * time.Second        // per request
	viewInterval      = time.Second            // between load updates of one entry
	queueTimeout      = 5 * time.Second
	maxTries          = 3
	replaceInterval   = 20 * time.Second // between losses of one server's cache
	peakInterval      = 60 * time.Second
	peakLength        = 10 * time.Second
)

// variant is a planner with the information that its requests carry.
type variant struct {
	name      string
	planner   placement.Planner
	chatKey   bool // requests carry a chat key
	chatToken bool // requests carry a chat token
}

func main() {
	rate := flag.Float64("rate", 40, "requests per second outside peaks")
	peak := flag.Float64("crest", 2, "factor by which the rate rises during peaks")
	prefillWait := flag.Float64("worth", placement.DefaultPrefillWaitFactor, "PrefillWaitFactor of the planner")
	cachedFraction := flag.Float64("order-share", placement.DefaultRendezvousCachedFraction, "RendezvousCachedFraction of the planner")
	length := flag.Duration("length", 10*time.Minute, "simulated `duration` of each run")
	flag.Parse()

	planner := placement.NewPlanner(placement.Options{
		PrefillPerToken: prefill, MeanServiceTime: decode, PrefillWaitFactor: *prefillWait, RendezvousCachedFraction: *cachedFraction,
	})
	variants := []variant{
		{"planner, tokens", planner, true, true},
		{"planner, no tokens", planner, true, false},
		{"power of two choices", planner, false, false},
		{"consistent hash", placement.ConsistentHash{}, true, false},
		{"least loaded", placement.LeastLoaded{}, false, false},
		{"random of 3 least", placement.RandomTopN{N: 3}, false, false},
		{"round robin", &placement.RoundRobin{}, false, false},
		{"random", placement.Random{}, false, false},
	}
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "planner\tcached\tmax/mean load\tfirst token p50\tp99\tp99 at crest\treplans\trefused")
	for _, c := range variants {
		fmt.Fprintln(out, run(c, *rate, *peak, *length))
	}
	if err := out.Flush(); err != nil {
		os.Exit(1)
	}
}
