package main

import (
	"cmp"
	"encoding/csv"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Dimensions of plots.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// series holds the values y of one measure at the sizes x.
type series struct {
	measure, unit string
	x, y          []float64
}

// readSeries reads the rows of a CSV file whose case begins with a number, which
// the control and memory measurements write, and groups them by measure.
func readSeries(file string) ([]*series, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open CSV file")
	}
	defer f.Close()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return nil, errors.Wrap(err, "read CSV file")
	}
	byMeasure := make(map[string]*series)
	for _, row := range rows[1:] {
		number, _, _ := strings.Cut(row[1], " ")
		x, notNumber := strconv.ParseFloat(number, 64)
		if notNumber != nil {
			continue
		}
		y, err := strconv.ParseFloat(row[3], 64)
		if err != nil {
			return nil, errors.Wrap(err, "parse value in CSV file")
		}
		s := byMeasure[row[0]]
		if s == nil {
			s = &series{measure: row[0], unit: row[4]}
			byMeasure[row[0]] = s
		}
		s.x, s.y = append(s.x, x), append(s.y, y)
	}
	return sortByMeasure(byMeasure), nil
}

// sortByMeasure returns the series sorted by name.
func sortByMeasure(byMeasure map[string]*series) []*series {
	var all []*series
	for _, s := range byMeasure {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *series) int { return cmp.Compare(a.measure, b.measure) })
	return all
}

// fit returns a line fitted by least squares, its coefficient of determination and
// the largest absolute residual.
func (s *series) fit() (intercept, slope, r2, maxResidual float64) {
	intercept, slope = stat.LinearRegression(s.x, s.y, nil, false)
	r2 = stat.RSquared(s.x, s.y, nil, intercept, slope)
	for i := range s.x {
		maxResidual = max(maxResidual, math.Abs(s.y[i]-intercept-slope*s.x[i]))
	}
	return intercept, slope, r2, maxResidual
}

// printSlopes prints the fitted line of each series.
func printSlopes(file string) error {
	all, err := readSeries(file)
	if err != nil {
		return err
	}
	for _, s := range all {
		intercept, slope, r2, maxResidual := s.fit()
		fmt.Printf("%-20s %10.4g + %8.4g x  %-12s R2 %.3f, at most %.3g off\n", s.measure, intercept, slope, s.unit, r2, maxResidual)
	}
	return nil
}

// drawSeries writes a plot of each series with its fitted line.
func drawSeries(file, dir string) error {
	all, err := readSeries(file)
	if err != nil {
		return err
	}
	for _, s := range all {
		if s.unit == "requests" { // counts of failures, all zero in a valid run
			continue
		}
		if err := s.draw(filepath.Join(dir, strings.ReplaceAll(s.measure, " ", "-")+".png")); err != nil {
			return err
		}
	}
	return nil
}

// draw writes the plot of s.
func (s *series) draw(file string) error {
	p := plot.New()
	p.Title.Text = s.measure
	p.X.Label.Text = "daemons, or open streams"
	p.Y.Label.Text = s.unit
	p.Y.Min = 0
	points := make(plotter.XYs, len(s.x))
	for i := range s.x {
		points[i] = plotter.XY{X: s.x[i], Y: s.y[i]}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrap(err, "create scatter plot")
	}
	intercept, slope, _, _ := s.fit()
	line := plotter.NewFunction(func(x float64) float64 { return intercept + slope*x })
	p.Add(scatter, line, plotter.NewGrid())
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}
