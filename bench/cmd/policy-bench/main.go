// Command policy-bench compares the daemon's policy with simpler ones: real
// daemons as processes before stand-ins of engines, one short scenario for each
// measure, at the sizes of both users.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"cassialatch.dev/bench/internal/fleetproc"
)

// site is the size of one user's fleet.
type site struct {
	name                              string
	daemons, engines, services, zones int
}

// sites are the users' fleets of today.
var sites = []site{
	{"ringeklokka", 9, 10, 3, 3},
	{"huancaray", 9, 20, 4, 4},
}

// config is what the flags say.
type config struct {
	binary, dir string
	network     byte
	seed        uint64
	planners    []string
}

func main() {
	var c config
	names := flag.String("measures", "cache,evenness,head-of-line,stragglers,crest", "measures, separated by commas")
	users := flag.String("sites", "ringeklokka,huancaray", "sites, separated by commas")
	planners := flag.String("planners", "ours,round-robin,least-loaded,consistent-hash", "planners of bench-daemon, separated by commas")
	out := flag.String("out", "out/bench/policy.csv", "CSV file to write")
	plots := flag.String("plots", "", "directory for plots of earlier -out files, named as arguments; measures nothing")
	network := flag.Uint("network", 50, "daemons listen on 127.N.0.0/16; runs at the same time need different ones")
	flag.Uint64Var(&c.seed, "seed", 1887, "of all random choices of callers")
	flag.StringVar(&c.binary, "daemon", ".bin/bench-daemon", "bench-daemon program")
	flag.Parse()
	if *plots != "" {
		exitOn(drawAll(flag.Args(), *plots))
		return
	}
	c.network = byte(*network)
	c.planners = strings.Split(*planners, ",")
	c.dir = filepath.Join(filepath.Dir(*out), fmt.Sprintf("daemons-%d", c.network))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	exitOn(c.runAll(ctx, strings.Split(*names, ","), strings.Split(*users, ","), *out))
}

// runAll runs each measure for each site and planner.
func (c config) runAll(ctx context.Context, names, users []string, out string) error {
	table, err := newTable(out)
	if err != nil {
		return err
	}
	defer table.close()
	for _, name := range names {
		m, known := measures[name]
		if !known {
			return &unknownError{what: "measure", name: name}
		}
		for _, s := range sites {
			if !slices.Contains(users, s.name) {
				continue
			}
			if err := c.compare(ctx, table, s, name, m); err != nil {
				return err
			}
		}
	}
	return table.close()
}

// compare runs one measure at one site with each planner.
func (c config) compare(ctx context.Context, t *table, s site, name string, m measure) error {
	for _, planner := range c.planners {
		figures, err := c.run(ctx, s, planner, m)
		if err != nil {
			return err
		}
		for _, f := range figures {
			t.add(row{site: s.name, measure: name + ": " + f.name, planner: planner, value: f.value, unit: f.unit, seed: c.seed})
		}
	}
	return nil
}

// run runs one measure with one planner on a fleet of its own.
func (c config) run(ctx context.Context, s site, planner string, m measure) ([]figure, error) {
	f, err := fleetproc.Start(ctx, fleetproc.Options{
		Binary: c.binary, Dir: c.dir, Network: c.network, Planner: planner, BaseDocument: base(),
		Daemons: s.daemons, Engines: s.engines, Services: s.services, Zones: s.zones, EngineConfig: engineConfig(),
	})
	defer f.Stop()
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second) // limits settle
	return m(ctx, &trial{fleet: f, seed: c.seed, engines: s.engines})
}

// exitOn ends the process when err is one.
func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "policy-bench:", err)
		os.Exit(1)
	}
}

// unknownError names something that does not exist.
type unknownError struct{ what, name string }

// Error implements error.
func (e *unknownError) Error() string { return "unknown " + e.what + " " + e.name }
