package capac

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"text/template"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// evaluated is a Row with its measured values and the result at the target size.
type evaluated struct {
	Row
	points []point
	fit    line
	figure float64
}

// nearBudget is the ratio of a figure to its budget above which the page lists the row as near the
// line.
const nearBudget = 0.6

func evaluate(fi *Figures, ro Row) evaluated {
	ev := evaluated{Row: ro, points: fi.points(ro.Prefix, ro.Suffix, ro.Metric)}
	if units, unsized := fi.Results[ro.Prefix]; unsized {
		ev.points = append(ev.points, point{1, units[ro.Metric]})
	}
	ev.fit = fit(ev.points)
	ev.figure = ev.value() * ro.Scale
	return ev
}

// value returns the value at the target size in the benchmark's unit. It extrapolates only if that
// size was not measured.
func (ev *evaluated) value() float64 {
	if len(ev.points) == 0 {
		return math.NaN()
	}
	if ev.Mean {
		sum := 0.0
		for _, pt := range ev.points {
			sum += pt.value
		}
		return sum / float64(len(ev.points))
	}
	for _, pt := range ev.points {
		if pt.size == ev.TargetSize {
			return pt.value
		}
	}
	return ev.fit.at(ev.TargetSize)
}

func (ev *evaluated) ratio() float64 {
	if ev.Budget == 0 {
		return math.NaN()
	}
	return ev.figure / ev.Budget
}

func (ev *evaluated) verdict() string {
	ratio := ev.ratio()
	switch {
	case math.IsNaN(ev.figure):
		return "not measured"
	case math.IsNaN(ratio):
		return "no budget"
	case ratio > 1:
		return "**over**"
	case ratio > nearBudget:
		return "near the line"
	}
	return "fits"
}

func (ev *evaluated) measurements() string {
	var parts []string
	for _, pt := range ev.points {
		if len(ev.points) == 1 {
			return formatNumber(pt.value)
		}
		parts = append(parts, fmt.Sprintf("%s at %s", formatNumber(pt.value), formatNumber(pt.size)))
	}
	text := strings.Join(parts, ", ")
	switch {
	case len(ev.points) < 2:
		return text
	case ev.Mean:
		return text + "; mean"
	}
	return fmt.Sprintf("%s; %s + %s a unit, off by at most %.0f %%", text, formatNumber(ev.fit.base), formatNumber(ev.fit.slope), 100*ev.fit.residual)
}

func formatNumber(value float64) string {
	switch size := math.Abs(value); {
	case math.IsNaN(value):
		return "–"
	case size >= 100:
		return fmt.Sprintf("%.0f", value)
	case size >= 1:
		return fmt.Sprintf("%.2f", value)
	}
	return fmt.Sprintf("%.3g", value)
}

// Page fills the page's template with the tables.
func Page(fi *Figures, text string) (string, error) {
	tm, err := template.New("page").Parse(text)
	if err != nil {
		return "", fmt.Errorf("parse the page's template: %w", err)
	}
	var out bytes.Buffer
	err = tm.Execute(&out, map[string]string{
		"Machine": fmt.Sprintf("%s, %d cores, %s, %s", fi.Machine.Processor, fi.Machine.Cores, fi.Machine.OS, fi.Machine.Go),
		"Over":    overBudget(fi),
		"Table":   table(fi),
	})
	return out.String(), err
}

func overBudget(fi *Figures) string {
	var out strings.Builder
	for _, ro := range Rows {
		ev := evaluate(fi, ro)
		if ratio := ev.ratio(); ratio > nearBudget || math.IsNaN(ev.figure) {
			fmt.Fprintf(&out, "- %s, %s: %s %s of %s (%s)\n", ro.Role, ro.What, formatNumber(ev.figure), ro.Unit, formatNumber(ro.Budget), ev.verdict())
		}
	}
	return strings.TrimSpace(out.String())
}

func table(fi *Figures) string {
	var out strings.Builder
	out.WriteString("| role | what | measured | at the target | budget | ratio | verdict | mechanism | benchmark | notes |\n")
	out.WriteString("|---|---|---|---|---|---|---|---|---|---|\n")
	for _, ro := range Rows {
		ev := evaluate(fi, ro)
		fmt.Fprintf(&out, "| %s | %s | %s %s | %s %s | %s | %s | %s | `%s` | `%s` | %s |\n",
			ro.Role, ro.What, ev.measurements(), ro.Metric, formatNumber(ev.figure), ro.Unit, budgetText(ro), formatNumber(ev.ratio()),
			ev.verdict(), ro.Mechanism, ro.Prefix+"*"+ro.Suffix, ro.Note)
	}
	return strings.TrimSpace(out.String())
}

func budgetText(ro Row) string {
	if ro.Budget == 0 {
		return "–"
	}
	return formatNumber(ro.Budget) + " " + ro.Unit
}

// Chart plots the ratio of each figure to its budget, as SVG.
func Chart(fi *Figures) ([]byte, error) {
	var values plotter.Values
	var names []string
	for _, ro := range Rows {
		ev := evaluate(fi, ro)
		if ratio := ev.ratio(); !math.IsNaN(ratio) {
			values = append(values, ratio)
			names = append(names, ro.Role+": "+ro.What)
		}
	}
	pl := plot.New()
	pl.Title.Text = "Figure at the target over its budget"
	pl.X.Label.Text = "1 is the budget"
	bars, err := plotter.NewBarChart(values, vg.Points(9))
	if err != nil {
		return nil, fmt.Errorf("plot: %w", err)
	}
	bars.Horizontal = true
	limit, err := plotter.NewLine(plotter.XYs{{X: 1, Y: -0.5}, {X: 1, Y: float64(len(values)) - 0.5}})
	if err != nil {
		return nil, fmt.Errorf("plot: %w", err)
	}
	limit.Width = vg.Points(2)
	pl.Add(bars, limit)
	pl.NominalY(names...)
	canvas := vgsvg.New(vg.Points(760), vg.Points(float64(60+18*len(values))))
	pl.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err = canvas.WriteTo(&out); err != nil {
		return nil, fmt.Errorf("plot: %w", err)
	}
	return out.Bytes(), nil
}
