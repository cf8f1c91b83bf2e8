// Command policytrial compares planners of package placement on fakes of
// backend servers, with entries that see loads late. It gives trial figures for
// decisions about the policy; it is no model of a fleet.
package main

import (
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"cassialatch.dev/fleet/placement"
)

// Shape of the trial.
const (
	servers      = 20
	slots        = 8 // in-flight work that one server can hold
	minLimit     = 2
	loadFactor   = 1.25
	entries      = 9
	chats        = 1200
	firstPrompt  = 500
	turnTokens   = 300
	maxPrompt    = 8000
	cacheTokens  = 400_000
	prefill      = 250 * time.Microsecond // for each token
	decode       = 2 * time.Second
	viewInterval = time.Second // between the loads that an entry hears
	queueTimeout = 5 * time.Second
	maxTries     = 3
	replaceEvery = 20 * time.Second // one server loses its cache
	crestEvery   = 60 * time.Second
	crestLength  = 10 * time.Second
)

// contender is one planner in the trial.
type contender struct {
	name    string
	planner placement.Planner
	key     bool // chats have a key
	token   bool // callers carry chat tokens
}

func main() {
	rate := flag.Float64("rate", 40, "requests a second outside the crest")
	crest := flag.Float64("crest", 2, "factor of the rate at the crest")
	worth := flag.Float64("worth", placement.DefaultPrefillWaitFactor, "PrefillWorth of the planner")
	orderShare := flag.Float64("order-share", placement.DefaultRendezvousCachedFraction, "OrderShare of the planner")
	length := flag.Duration("length", 10*time.Minute, "time of the fakes' clock")
	flag.Parse()

	planner := placement.NewPlanner(placement.Options{
		PrefillPerToken: prefill, MeanServiceTime: decode, PrefillWaitFactor: *worth, RendezvousCachedFraction: *orderShare,
	})
	contenders := []contender{
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
	for _, c := range contenders {
		fmt.Fprintln(out, run(c, *rate, *crest, *length))
	}
	if err := out.Flush(); err != nil {
		os.Exit(1)
	}
}
