// Command bench-daemon is cassialatchd with a selectable planner, so that
// benchmarks can compare the daemon's planner with baselines. It must not be used
// for anything else.
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

// randomTopN is the number of least loaded backend servers between which the
// planner "random-top-3" chooses.
const randomTopN = 3

// planners returns the planners by name. A nil planner selects the daemon's own.
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

// fittedPlanner returns the daemon's planner, configured with the prefill and
// service times of the engines in policy-bench instead of the defaults.
func fittedPlanner() placement.Planner {
	return placement.NewPlanner(placement.Options{
		PrefillPerToken: 500 * time.Microsecond, MeanServiceTime: 500 * time.Millisecond,
	})
}

func main() {
	file := flag.String("config", "", "settings `file` (TOML)")
	name := flag.String("planner", "ours", "`name` of the planner: ours, ours-fitted, round-robin, random, least-loaded, consistent-hash or random-top-3")
	flag.Parse()
	planner, known := planners()[*name]
	if !known {
		exit(&unknownPlannerError{name: *name})
	}
	if err := run(*file, planner); err != nil {
		exit(err)
	}
}

// run runs the daemon until the process receives SIGTERM or SIGINT.
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

// exit prints err and exits with code 1.
func exit(err error) {
	fmt.Fprintln(os.Stderr, "bench-daemon:", err)
	os.Exit(1)
}

// unknownPlannerError reports a name that is not in planners.
type unknownPlannerError struct{ name string }

// Error implements error.
func (e *unknownPlannerError) Error() string { return "unknown planner " + e.name }
