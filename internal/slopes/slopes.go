// Package slopes measures what costs grow with, for docs/CAPACITY.md: each
// slope is at least four points, a fitted line and its residual.
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
	// Slope is one cost against one size.
	Slope struct {
		Name   string // short, names its plot too
		Size   string // what is varied
		Unit   string // of the cost
		Points []Point
	}

	// Point is one measurement.
	Point struct {
		Size, Cost float64
	}

	// Config sets up the measurements.
	Config struct {
		Out      string // folder for the table and the plots
		Progress io.Writer
		Now      func() time.Time
		Only     string // name of one slope, or empty
	}

	// measurement makes the points of one slope.
	measurement struct {
		name, size, unit string
		sizes            []int
		cost             func(m *meter, size int) (float64, error)
	}

	meter struct {
		now func() time.Time
	}
)

// Fit returns the line through the points by least squares: cost at size 0,
// cost for one more, and the residual as a share of the largest cost.
func (s Slope) Fit() (base, each, residual float64) {
	var x, y []float64
	largest := 0.0
	for _, p := range s.Points {
		x, y = append(x, p.Size), append(y, p.Cost)
		largest = max(largest, math.Abs(p.Cost))
	}
	base, each = stat.LinearRegression(x, y, nil, false)
	for _, p := range s.Points {
		residual = max(residual, math.Abs(p.Cost-base-each*p.Size))
	}
	if largest > 0 {
		residual /= largest
	}
	return base, each, residual
}

// each times f over and over for a while and returns nanoseconds for one call.
func (m *meter) each(f func()) float64 {
	const enough = 150 * time.Millisecond
	f()
	calls := 0
	began := m.now()
	for batch := 1; ; batch *= 2 {
		for range batch {
			f()
		}
		calls += batch
		if took := m.now().Sub(began); took >= enough {
			return float64(took.Nanoseconds()) / float64(calls)
		}
	}
}

// bytes returns the live heap that make leaves behind.
func (m *meter) bytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// Run measures every slope and writes table and plots.
func Run(c Config) ([]Slope, error) {
	var all []Slope
	m := &meter{now: c.Now}
	for _, x := range measurements() {
		if c.Only != "" && c.Only != x.name {
			continue
		}
		s := Slope{Name: x.name, Size: x.size, Unit: x.unit}
		for _, size := range x.sizes {
			cost, err := x.cost(m, size)
			if err != nil {
				return all, fmt.Errorf("slope %s at %d: %w", x.name, size, err)
			}
			s.Points = append(s.Points, Point{float64(size), cost})
			fmt.Fprintf(c.Progress, "%-22s %-28s %8d  %14.1f %s\n", x.name, x.size, size, cost, x.unit)
		}
		all = append(all, s)
	}
	return all, write(c, all)
}

// write writes the table as Markdown and a plot for each slope.
func write(c Config, all []Slope) error {
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
	err = table(f, all)
	for _, s := range all {
		err = errors.Join(err, s.plot(filepath.Join(c.Out, s.Name+".png")))
	}
	return errors.Join(err, f.Close())
}

func table(w io.Writer, all []Slope) error {
	_, err := fmt.Fprintf(w, "# Measured slopes\n\nMade by `make slopes` on %s/%s with %d cores, %s. One slope again: `go run ./tools slopes --only NAME`.\n\n"+
		"| slope | grows with | points (size: cost) | at 0 | for one more | unit | largest residual |\n|---|---|---|---|---|---|---|\n",
		runtime.GOOS, runtime.GOARCH, runtime.NumCPU(), runtime.Version())
	for _, s := range all {
		base, each, residual := s.Fit()
		points := ""
		for _, p := range s.Points {
			points += fmt.Sprintf("%.0f: %.4g; ", p.Size, p.Cost)
		}
		_, lineErr := fmt.Fprintf(w, "| %s | %s | %s | %.4g | %.4g | %s | %.1f%% |\n", s.Name, s.Size, points, base, each, s.Unit, 100*residual)
		err = errors.Join(err, lineErr)
	}
	return err
}

func (s Slope) plot(path string) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = s.Name, s.Size, s.Unit
	var measured, fitted plotter.XYs
	base, each, _ := s.Fit()
	for _, point := range s.Points {
		measured = append(measured, plotter.XY{X: point.Size, Y: point.Cost})
		fitted = append(fitted, plotter.XY{X: point.Size, Y: base + each*point.Size})
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
