// Command bench-daemon is cassialatchd with a choice of planner, so that
// benchmarks can compare baselines. It is not for use outside of them.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cassialatch.dev/config/setting"
	"cassialatch.dev/fleet/node"
	"cassialatch.dev/fleet/placement"
)

// randomTopN is how many of the least loaded the planner "random-top-3" draws from.
const randomTopN = 3

// planners returns the planner by name; nil is the daemon's own.
func planners() map[string]placement.Planner {
	return map[string]placement.Planner{
		"ours":            nil,
		"ours-fitted":     fittedPlanner(),
		"round-robin":     &placement.RoundRobin{},
		"random":          placement.Random{},
		"least-loaded":    placement.LeastLoaded{},
		"consistent-hash": placement.ConsistentHash{},
		"random-top-3":    placement.RandomTopN{N: randomTopN},
	}
}

// fittedPlanner returns the daemon's planner with the times that the engines of
// policy-bench have, in place of the defaults.
func fittedPlanner() placement.Planner {
	return placement.NewPlanner(placement.Options{
		PrefillPerToken: 500 * time.Microsecond, MeanServiceTime: 500 * time.Millisecond,
	})
}

func main() {
	file := flag.String("config", "", "settings `file` (TOML)")
	name := flag.String("planner", "ours", "ours, ours-fitted, round-robin, random, least-loaded, consistent-hash or random-top-3")
	flag.Parse()
	planner, known := planners()[*name]
	if !known {
		fail(&unknownPlannerError{name: *name})
	}
	if err := run(*file, planner); err != nil {
		fail(err)
	}
}

// run serves until the process is told to stop.
func run(file string, planner placement.Planner) error {
	settings, err := setting.Load(file)
	if err != nil {
		return err
	}
	log := zerolog.New(os.Stderr).Level(zerolog.WarnLevel).With().Timestamp().Logger()
	n, err := node.New(node.Options{Settings: settings, Version: "bench", Log: log, Planner: planner})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return n.Run(ctx)
}

// fail ends the process.
func fail(err error) {
	fmt.Fprintln(os.Stderr, "bench-daemon:", err)
	os.Exit(1)
}

// unknownPlannerError names a planner that does not exist.
type unknownPlannerError struct{ name string }

// Error implements error.
func (e *unknownPlannerError) Error() string { return "unknown planner " + e.name }
