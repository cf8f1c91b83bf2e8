package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Dimensions of plots.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 14 * vg.Millimeter
)

// row is one figure of the table.
type row struct {
	site, measure, planner string
	value                  float64
	unit                   string
	seed                   uint64
}

// table writes rows to a CSV file and to standard output.
type table struct {
	file *os.File
	out  *csv.Writer
}

// newTable creates the CSV file and its directory, and writes the header.
func newTable(name string) (*table, error) {
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		return nil, errors.Wrap(err, "create table directory")
	}
	file, err := os.Create(name)
	if err != nil {
		return nil, errors.Wrap(err, "create table")
	}
	t := &table{file: file, out: csv.NewWriter(file)}
	return t, t.out.Write([]string{"site", "measure", "planner", "value", "unit", "seed"})
}

// add writes one row. A write error is returned by close.
func (t *table) add(r row) {
	value := strconv.FormatFloat(r.value, 'f', 2, 64)
	_ = t.out.Write([]string{r.site, r.measure, r.planner, value, r.unit, strconv.FormatUint(r.seed, 10)}) // close returns the error
	t.out.Flush()
	fmt.Printf("%-12s %-52s %-16s %10s %-14s seed %d\n", r.site, r.measure, r.planner, value, r.unit, r.seed)
}

// close closes the file and returns the first write error. It may be called
// more than once.
func (t *table) close() error {
	t.out.Flush()
	_ = t.file.Close() // already flushed; fails if called again
	return t.out.Error()
}

// drawAll draws the first figure of each measure and site in the CSV files.
func drawAll(files []string, dir string) error {
	for _, file := range files {
		rows, err := readRows(file)
		if err != nil {
			return err
		}
		drawn := make(map[string]bool)
		for _, r := range rows {
			scenario, _, _ := strings.Cut(r.measure, ":")
			key := r.site + "-" + scenario
			if drawn[key] {
				continue
			}
			drawn[key] = true
			if err := draw(rows, r, filepath.Join(dir, "policy-"+key+".png")); err != nil {
				return err
			}
		}
	}
	return nil
}

// readRows reads the rows of a CSV file, without their seeds.
func readRows(name string) ([]row, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "open table")
	}
	defer file.Close()
	records, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "read table")
	}
	var rows []row
	for _, r := range records[1:] {
		value, err := strconv.ParseFloat(r[3], 64)
		if err != nil {
			return nil, errors.Wrap(err, "parse value in table")
		}
		rows = append(rows, row{site: r[0], measure: r[1], planner: r[2], value: value, unit: r[4]})
	}
	return rows, nil
}

// draw plots the figure that of belongs to, with one bar for each planner.
func draw(rows []row, of row, file string) error {
	var values plotter.Values
	var names []string
	for _, r := range rows {
		if r.site == of.site && r.measure == of.measure {
			values = append(values, r.value)
			names = append(names, r.planner)
		}
	}
	p := plot.New()
	p.Title.Text = of.site + ", " + of.measure
	p.Y.Label.Text = of.unit
	p.Y.Min = 0
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return errors.Wrap(err, "create bar chart")
	}
	p.Add(bars)
	p.NominalX(names...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}
