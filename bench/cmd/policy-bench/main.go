// Command policy-bench compares the daemon's placement policy with simpler ones.
// It runs one short scenario for each measure, planner and site, with daemon
// processes and stand-ins for the engines, and writes the results to a CSV file.
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

// site is the size of the fleet at one site.
type site struct {
	name                              string
	daemons, engines, services, zones int
}

// sites are the fleets in use today.
var sites = []site{
	{"ringeklokka", 9, 10, 3, 3},
	{"huancaray", 9, 20, 4, 4},
}

// config holds the values of flags.
type config struct {
	binary, dir string
	network     byte
	seed        uint64
	planners    []string
}

func main() {
	var c config
	names := flag.String("measures", "cache,evenness,head-of-line,stragglers,crest", "comma-separated `list` of measures")
	siteNames := flag.String("sites", "ringeklokka,huancaray", "comma-separated `list` of sites")
	planners := flag.String("planners", "ours,round-robin,least-loaded,consistent-hash", "comma-separated `list` of bench-daemon planners")
	out := flag.String("out", "out/bench/policy.csv", "CSV `file` to write")
	plots := flag.String("plots", "", "draw plots of the CSV files given as arguments into this `directory` and run no measure")
	network := flag.Uint("network", 50, "daemons listen on 127.`N`.0.0/16; concurrent runs need different values")
	flag.Uint64Var(&c.seed, "seed", 1887, "seed of all random choices of callers")
	flag.StringVar(&c.binary, "daemon", ".bin/bench-daemon", "`path` of the bench-daemon program")
	flag.Parse()
	if *plots != "" {
		exitOnError(drawAll(flag.Args(), *plots))
		return
	}
	c.network = byte(*network)
	c.planners = strings.Split(*planners, ",")
	c.dir = filepath.Join(filepath.Dir(*out), fmt.Sprintf("daemons-%d", c.network))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	exitOnError(c.runAll(ctx, strings.Split(*names, ","), strings.Split(*siteNames, ","), *out))
}

// runAll runs each named measure for each named site and all planners.
func (c config) runAll(ctx context.Context, names, siteNames []string, out string) error {
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
			if !slices.Contains(siteNames, s.name) {
				continue
			}
			if err := c.compare(ctx, table, s, name, m); err != nil {
				return err
			}
		}
	}
	return table.close()
}

// compare runs one measure at one site with each planner and adds the figures to
// the table.
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

// run starts a fleet with the given planner and runs one measure on it.
func (c config) run(ctx context.Context, s site, planner string, m measure) ([]figure, error) {
	f, err := fleetproc.Start(ctx, fleetproc.Options{
		Binary: c.binary, Dir: c.dir, Network: c.network, Planner: planner, BaseDocument: baseDocument(),
		Daemons: s.daemons, Engines: s.engines, Services: s.services, Zones: s.zones, EngineConfig: engineConfig(),
	})
	defer f.Stop()
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second) // until the in-flight limits are stable
	return m(ctx, &trial{fleet: f, seed: c.seed, engines: s.engines})
}

// exitOnError prints err and exits with code 1, unless err is nil.
func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "policy-bench:", err)
		os.Exit(1)
	}
}

// unknownError reports a flag value that names nothing.
type unknownError struct{ what, name string }

// Error implements error.
func (e *unknownError) Error() string { return "unknown " + e.what + " " + e.name }
