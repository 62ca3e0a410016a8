// Package plots plots the results of benchmark runs: scores over time, mean deductions, and total deductions by the
// number of VMs.
package plots

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Error is the class of this package's errors.
var Error = errs.Class("plots")

const (
	width  = 9 * vg.Inch
	height = 5 * vg.Inch
	// minMeanDeduction is the smallest mean deduction that gets a bar.
	minMeanDeduction = 0.0005
)

// Day is the result of one day (a test scenario) of a benchmark run.
type Day struct {
	At    time.Time
	Site  string
	Name  string
	Score float64
	// VMs is the number of VMs that rookpass used.
	VMs    int
	Failed bool
	// Deductions are the amounts deducted from the score, by name.
	Deductions map[string]float64
}

// Draw writes the plots of days to a folder as PNG files and returns their names.
func Draw(dir string, days []Day) ([]string, error) {
	if len(days) == 0 {
		return nil, Error.New("no days to plot")
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, Error.Wrap(err)
	}
	var files []string
	for _, entry := range []struct {
		name string
		draw func([]Day) (*plot.Plot, error)
	}{{"worth", plotScores}, {"prices", plotDeductions}, {"cost-by-size", plotCostBySize}} {
		p, err := entry.draw(days)
		if err != nil {
			return files, Error.New("%s: %w", entry.name, err)
		}
		file := filepath.Join(dir, entry.name+".png")
		if err := p.Save(width, height, file); err != nil {
			return files, Error.Wrap(err)
		}
		files = append(files, file)
	}
	return files, nil
}

// groupBySite groups days by site and returns the sites in alphabetical order.
func groupBySite(days []Day) (sites []string, grouped map[string][]Day) {
	grouped = map[string][]Day{}
	for _, d := range days {
		grouped[d.Site] = append(grouped[d.Site], d)
	}
	for site := range grouped {
		sites = append(sites, site)
	}
	slices.Sort(sites)
	return sites, grouped
}

// plotScores shows the score of each day over time. Days with a violated rule are red.
func plotScores(days []Day) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Score of each day", "score (maximum 1)"
	p.X.Tick.Marker = plot.TimeTicks{Format: "01-02\n15:04"}
	p.Legend.Left = true
	sites, grouped := groupBySite(days)
	var broken plotter.XYs
	for i, site := range sites {
		var points plotter.XYs
		for _, d := range grouped[site] {
			xy := plotter.XY{X: float64(d.At.Unix()), Y: d.Score}
			if d.Failed {
				broken = append(broken, xy)
				continue
			}
			points = append(points, xy)
		}
		if err := addScatter(p, site, points, plotutil.Color(i)); err != nil {
			return nil, err
		}
	}
	return p, addScatter(p, "rule violated", broken, color.RGBA{R: 220, A: 255})
}

// plotDeductions shows the mean of each deduction as a group of bars per site.
func plotDeductions(days []Day) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Mean deductions from the score of a day", "deduction"
	sites, grouped := groupBySite(days)
	means := map[string]plotter.Values{}
	for i, site := range sites {
		for _, d := range grouped[site] {
			for name, amount := range d.Deductions {
				if means[name] == nil {
					means[name] = make(plotter.Values, len(sites))
				}
				means[name][i] += amount / float64(len(grouped[site]))
			}
		}
	}
	var names []string
	for name, values := range means {
		if slices.Max(values) >= minMeanDeduction {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return strings.Compare(a, b) })
	barWidth := vg.Points(300 / float64(max(1, len(names)*len(sites))))
	for i, name := range names {
		bars, err := plotter.NewBarChart(means[name], barWidth)
		if err != nil {
			return nil, err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(names)-1)/2)
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.Legend.Top = true
	p.NominalX(sites...)
	return p, nil
}

// plotCostBySize shows the total deductions of each day by the number of VMs.
func plotCostBySize(days []Day) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Total deductions of a day by number of VMs", "VMs", "total deductions"
	sites, grouped := groupBySite(days)
	for i, site := range sites {
		var points plotter.XYs
		for _, d := range grouped[site] {
			total := 0.0
			for _, amount := range d.Deductions {
				total += amount
			}
			points = append(points, plotter.XY{X: float64(d.VMs), Y: total})
		}
		if err := addScatter(p, site, points, plotutil.Color(i)); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func addScatter(p *plot.Plot, name string, points plotter.XYs, c color.Color) error {
	if len(points) == 0 {
		return nil
	}
	s, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	s.Color = c
	p.Add(s)
	p.Legend.Add(fmt.Sprintf("%s (%d)", name, len(points)), s)
	return nil
}
