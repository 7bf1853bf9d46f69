// Package slopes measures how costs grow with the size of a fleet, for
// docs/CAPACITY.md. Each slope has at least four measured points, a fitted line
// and its residual.
package slopes

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

type (
	// Slope is a cost measured at several values of one parameter.
	Slope struct {
		Name      string // also the name of the plot file
		Parameter string // what is varied, as shown in the table and the plot
		Unit      string // of the cost
		Points    []Point
	}

	// Point is the cost at one value of the parameter.
	Point struct {
		Size, Cost float64
	}

	// Config configures Run.
	Config struct {
		Out      string // folder for the table and the plots; empty to write none
		Progress io.Writer
		Now      func() time.Time
		Only     string // name of the only slope to measure, or empty for all
	}

	// measurement describes how to measure one slope.
	measurement struct {
		name, parameter, unit string
		values                []int
		cost                  func(m *meter, size int) (float64, error)
	}

	// meter measures time and memory.
	meter struct {
		now func() time.Time
	}
)

// Fit fits a line to the points by least squares. It returns the cost at size 0,
// the cost per unit of size, and the largest residual as a share of the largest
// cost.
func (s Slope) Fit() (intercept, perUnit, residual float64) {
	var x, y []float64
	largest := 0.0
	for _, p := range s.Points {
		x, y = append(x, p.Size), append(y, p.Cost)
		largest = max(largest, math.Abs(p.Cost))
	}
	intercept, perUnit = stat.LinearRegression(x, y, nil, false)
	for _, p := range s.Points {
		residual = max(residual, math.Abs(p.Cost-intercept-perUnit*p.Size))
	}
	if largest > 0 {
		residual /= largest
	}
	return intercept, perUnit, residual
}

// timePerCall calls f repeatedly, in batches of growing size, and returns the mean
// nanoseconds per call. The first call is not timed.
func (m *meter) timePerCall(f func()) float64 {
	const minDuration = 150 * time.Millisecond
	f()
	calls := 0
	start := m.now()
	for batch := 1; ; batch *= 2 {
		for range batch {
			f()
		}
		calls += batch
		if elapsed := m.now().Sub(start); elapsed >= minDuration {
			return float64(elapsed.Nanoseconds()) / float64(calls)
		}
	}
}

// heapBytes returns the live heap that the result of build occupies.
func (m *meter) heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// Run measures the slopes and writes the table and the plots.
func Run(c Config) ([]Slope, error) {
	var all []Slope
	m := &meter{now: c.Now}
	for _, measured := range measurements() {
		if c.Only != "" && c.Only != measured.name {
			continue
		}
		s := Slope{Name: measured.name, Parameter: measured.parameter, Unit: measured.unit}
		for _, size := range measured.values {
			cost, err := measured.cost(m, size)
			if err != nil {
				return all, fmt.Errorf("slope %s at %d: %w", measured.name, size, err)
			}
			s.Points = append(s.Points, Point{float64(size), cost})
			fmt.Fprintf(c.Progress, "%-22s %-28s %8d  %14.1f %s\n", measured.name, measured.parameter, size, cost, measured.unit)
		}
		all = append(all, s)
	}
	return all, writeFiles(c, all)
}

// writeFiles writes the table as Markdown and a plot of each slope.
func writeFiles(c Config, all []Slope) error {
	if c.Out == "" {
		return nil
	}
	const mode = 0o755
	if err := os.MkdirAll(c.Out, mode); err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(c.Out, "slopes.md"))
	if err != nil {
		return err
	}
	err = writeTable(f, all)
	for _, s := range all {
		err = errors.Join(err, s.plot(filepath.Join(c.Out, s.Name+".png")))
	}
	return errors.Join(err, f.Close())
}

func writeTable(w io.Writer, all []Slope) error {
	_, err := fmt.Fprintf(w, "# Measured slopes\n\nMade by `make slopes` on %s/%s with %d cores, %s. One slope again: `go run ./tools slopes --only NAME`.\n\n"+
		"| slope | grows with | points (size: cost) | at 0 | for one more | unit | largest residual |\n|---|---|---|---|---|---|---|\n",
		runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
	for _, s := range all {
		intercept, perUnit, residual := s.Fit()
		points := ""
		for _, p := range s.Points {
			points += fmt.Sprintf("%.0f: %.4g; ", p.Size, p.Cost)
		}
		_, lineErr := fmt.Fprintf(w, "| %s | %s | %s | %.4g | %.4g | %s | %.1f%% |\n", s.Name, s.Parameter, points, intercept, perUnit, s.Unit, 100*residual)
		err = errors.Join(err, lineErr)
	}
	return err
}

// plot draws the measured points and the fitted line into an image file.
func (s Slope) plot(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = s.Name, s.Parameter, s.Unit
	var measured, fitted plotter.XYs
	intercept, perUnit, _ := s.Fit()
	for _, point := range s.Points {
		measured = append(measured, plotter.XY{X: point.Size, Y: point.Cost})
		fitted = append(fitted, plotter.XY{X: point.Size, Y: intercept + perUnit*point.Size})
	}
	if err := plotutil.AddLinePoints(p, "measured", measured); err != nil {
		return err
	}
	if err := plotutil.AddLines(p, "fitted", fitted); err != nil {
		return err
	}
	const width, height = 5 * vg.Inch, 3.2 * vg.Inch
	return p.Save(width, height, path)
}
