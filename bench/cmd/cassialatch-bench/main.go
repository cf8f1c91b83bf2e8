// Command cassialatch-bench measures daemons as processes before stand-ins and
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

// measure is one measurement; it adds its figures to the report.
type measure func(ctx context.Context, b *bench) error

// measures by name.
var measures = map[string]measure{
	"latency": measureLatency,
	"cost":    measureCost,
	"memory":  measureMemory,
	"control": measureControl,
	"zone":    measureZone,
}

// bench is what measurements share.
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
	only := flag.String("only", "latency,cost,memory,control,zone", "measurements, separated by commas")
	sizes := flag.String("sizes", "9,18,36,72", "daemons in the control measurement")
	runs := flag.Int("runs", 3, "repetitions")
	out := flag.String("out", "out/bench/capacity.csv", "CSV file to write")
	flag.StringVar(&b.binary, "daemon", ".bin/bench-daemon", "bench-daemon program")
	flag.DurationVar(&b.length, "length", 5*time.Second, "length of each window")
	network := flag.Uint("network", 40, "daemons listen on 127.N.0.0/16; runs at the same time need different ones")
	plots := flag.String("plots", "", "directory for plots of an earlier run's -out file; measures nothing")
	flag.Parse()
	if *plots != "" {
		exitOn(errors.CombineErrors(drawSeries(*out, *plots), printSlopes(*out)))
		return
	}
	b.network = byte(*network)
	b.dir = filepath.Join(filepath.Dir(*out), "daemons-"+strconv.Itoa(int(b.network)))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	exitOn(b.all(ctx, strings.Split(*only, ","), *sizes, *runs, *out))
}

// exitOn ends the process when err is one.
func exitOn(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cassialatch-bench:", err)
		os.Exit(1)
	}
}

// all repeats the measurements and writes the file.
func (b *bench) all(ctx context.Context, names []string, sizes string, runs int, out string) error {
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
	text := strconv.FormatFloat(value, 'g', 5, 64)
	_ = b.out.Write([]string{measure, which, strconv.Itoa(b.run), text, unit}) // Error is read at the end
	b.out.Flush()
	fmt.Printf("%-28s %-16s run %d  %12s %s\n", measure, which, b.run, text, unit)
}

// unknownMeasureError names a measurement that does not exist.
type unknownMeasureError struct{ name string }

// Error implements error.
func (e *unknownMeasureError) Error() string { return "unknown measurement " + e.name }
