// Command cassialatch-bench measures the latency, CPU time, memory use and control
// traffic of daemon processes with stand-ins for the engines and the platform. It
// writes one CSV row for each figure.
package main

import (
	"context"
	"encoding/csv"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// measure runs one measurement and adds its figures to the CSV file.
type measure func(ctx context.Context, b *bench) error

// measures maps the names of measurements to their functions.
var measures = map[string]measure{
	"latency": measureLatency,
	"cost":    measureCost,
	"memory":  measureMemory,
	"control": measureControl,
	"zone":    measureZone,
}

// bench holds the parameters and the output of all measurements.
type bench struct {
	binary  string
	dir     string
	network byte
	sizes   []int
	length  time.Duration
	run     int
	out     *csv.Writer
}

func main() {
	b := &bench{}
	selected := flag.String("only", "latency,cost,memory,control,zone", "comma-separated `list` of measurements")
	sizes := flag.String("sizes", "9,18,36,72", "comma-separated `list` of fleet sizes, in daemons, for the control measurement")
	runs := flag.Int("runs", 3, "`number` of repetitions of all measurements")
	out := flag.String("out", "out/bench/capacity.csv", "CSV `file` to write, or to read with -plots")
	flag.StringVar(&b.binary, "daemon", ".bin/bench-daemon", "`path` of the bench-daemon program")
	flag.DurationVar(&b.length, "length", 5*time.Second, "`duration` of each measurement window")
	network := flag.Uint("network", 40, "daemons listen on 127.`N`.0.0/16; concurrent runs need different values")
	plots := flag.String("plots", "", "draw plots of an earlier run's -out file into this `directory` and measure nothing")
	flag.Parse()
	if *plots != "" {
		exitOnError(errors.CombineErrors(drawSeries(*out, *plots), printSlopes(*out)))
		return
	}
	b.network = byte(*network)
	b.dir = filepath.Join(filepath.Dir(*out), "daemons-"+strconv.Itoa(int(b.network)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	exitOnError(b.runAll(ctx, strings.Split(*selected, ","), *sizes, *runs, *out))
}

// exitOnError prints err and exits with code 1, unless err is nil.
func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cassialatch-bench:", err)
		os.Exit(1)
	}
}

// runAll runs the named measurements the given number of times, writes the CSV
// file and prints the regression lines.
func (b *bench) runAll(ctx context.Context, names []string, sizes string, runs int, out string) error {
	for _, s := range strings.Split(sizes, ",") {
		size, err := strconv.Atoi(s)
		if err != nil {
			return err
		}
		b.sizes = append(b.sizes, size)
	}
	if err := os.MkdirAll(b.dir, 0o755); err != nil {
		return err
	}
	file, err := os.Create(out)
	if err != nil {
		return err
	}
	defer file.Close()
	b.out = csv.NewWriter(file)
	if err := b.out.Write([]string{"measure", "case", "run", "value", "unit"}); err != nil {
		return err
	}
	for b.run = 1; b.run <= runs; b.run++ {
		for _, name := range names {
			run, known := measures[name]
			if !known {
				return &unknownMeasureError{name: name}
			}
			if err := run(ctx, b); err != nil {
				return err
			}
		}
	}
	b.out.Flush()
	if err := b.out.Error(); err != nil {
		return err
	}
	return printSlopes(out)
}

// add writes one figure to the file and to standard output.
func (b *bench) add(measure, which string, value float64, unit string) {
	formatted := strconv.FormatFloat(value, 'g', 5, 64)
	_ = b.out.Write([]string{measure, which, strconv.Itoa(b.run), formatted, unit}) // runAll checks out.Error at the end
	b.out.Flush()
	fmt.Printf("%-28s %-16s run %d  %12s %s\n", measure, which, b.run, formatted, unit)
}

// unknownMeasureError reports a name that is not in measures.
type unknownMeasureError struct{ name string }

// Error implements error.
func (e *unknownMeasureError) Error() string { return "unknown measurement " + e.name }
