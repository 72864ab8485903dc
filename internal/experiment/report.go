package experiment

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"slices"
	"sort"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"oakseam/internal/latency"
)

// Report writes one HTML page about a store. The page is self-contained.
func Report(w io.Writer, title string, s *Store) error {
	rows, err := Summarize(s)
	if err != nil {
		return err
	}
	page := struct {
		Title string
		Rows  []*Row
		Parts []section
	}{Title: title, Rows: rows}
	for _, group := range groupByScenario(rows) {
		p := section{Title: group[0].Variant}
		if g := strings.Join(group[0].Grid, ", "); g != "" {
			p.Title += ", " + g
		}
		for _, newPlot := range []func([]*Row) (*plot.Plot, error){plotWorth, plotLatencies, newBarPlot("Retries for each req", func(r *Row) Interval { return r.Retries }),
			newBarPlot("Sends to cold backends", func(r *Row) Interval { return r.SendsToCold })} {
			pl, err := newPlot(group)
			if err != nil {
				return err
			}
			svg, err := renderSVG(pl)
			if err != nil {
				return err
			}
			p.Plots = append(p.Plots, svg)
		}
		page.Parts = append(page.Parts, p)
	}
	if pl, err := plotCosts(rows); err != nil {
		return err
	} else if pl != nil {
		svg, err := renderSVG(pl)
		if err != nil {
			return err
		}
		page.Parts = append(page.Parts, section{"Cost against the size of the fleet", []template.HTML{svg}})
	}
	return pageTemplate.Execute(w, page)
}

// section is a part of the page with a heading and plots.
type section struct {
	Title string
	Plots []template.HTML
}

// groupByScenario groups the rows that differ only in their policies.
func groupByScenario(rows []*Row) [][]*Row {
	groups := map[string][]*Row{}
	var order []string
	for _, r := range rows {
		k := r.Variant + "|" + strings.Join(r.Grid, ",")
		if groups[k] == nil {
			order = append(order, k)
		}
		groups[k] = append(groups[k], r)
	}
	var out [][]*Row
	for _, k := range order {
		out = append(out, groups[k])
	}
	return out
}

// The size of each plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// renderSVG draws a plot as an SVG element.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	_, svg, ok := strings.Cut(b.String(), "<svg")
	if !ok {
		return "", fmt.Errorf("drawing the plot produced no SVG element")
	}
	return template.HTML("<svg" + svg), nil // safe: generated here from numbers and escaped names
}

// plotWorth draws, for each second, the median over the runs of the earned share of the offered worth.
func plotWorth(rows []*Row) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Worth won over worth asked", "second", "part"
	p.Y.Min, p.Y.Max = 0, 1.02
	for i, r := range rows {
		var xy plotter.XYs
		for at := 0; ; at++ {
			var v []float64
			for _, rec := range r.records {
				if at < len(rec.Result.Seconds) && rec.Result.Seconds[at].OfferedWorth > 0 {
					v = append(v, rec.Result.Seconds[at].EarnedWorth/rec.Result.Seconds[at].OfferedWorth)
				}
			}
			if len(v) == 0 {
				break
			}
			slices.Sort(v)
			xy = append(xy, plotter.XY{X: float64(at), Y: median(v)})
		}
		if err := addLine(p, i, r.Policy, xy); err != nil {
			return nil, err
		}
	}
	widenForLegend(p, policies(rows), false)
	return p, nil
}

// widenForLegend extends the X axis, so that the legend is beside the curves.
func widenForLegend(p *plot.Plot, names []string, log bool) {
	longest := 0
	for _, n := range names {
		longest = max(longest, len(n))
	}
	const ( // widths in points
		axisWidth       = 350
		legendLineWidth = 40
		letterWidth     = 5
	)
	factor := 1 / (1 - min(float64(legendLineWidth+letterWidth*longest)/axisWidth, .7))
	if log {
		p.X.Max = p.X.Min * math.Pow(p.X.Max/p.X.Min, factor)
	} else {
		p.X.Max = p.X.Min + (p.X.Max-p.X.Min)*factor
	}
}

// policies returns the policy of each row.
func policies(rows []*Row) (names []string) {
	for _, r := range rows {
		names = append(names, r.Policy)
	}
	return names
}

// addLine adds a curve in the color of its index, with an entry in the legend.
func addLine(p *plot.Plot, i int, name string, xy plotter.XYs) error {
	if len(xy) == 0 {
		return nil
	}
	l, err := plotter.NewLine(xy)
	if err != nil {
		return err
	}
	l.Color = plotutil.Color(i)
	l.Dashes = plotutil.Dashes(i / 7)
	p.Add(l)
	p.Legend.Add(name, l)
	p.Legend.Top = false
	return nil
}

// plotLatencies draws the latency quantiles of the class with the most operations.
func plotLatencies(rows []*Row) (*plot.Plot, error) {
	p := plot.New()
	class := busiestClass(rows[0].records[0].Result)
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Latency of "+class, "quantile", "ms"
	p.NominalX("p50", "p90", "p99", "p99.9")
	for i, r := range rows {
		var xy plotter.XYs
		for x, of := range []func(latency.Quantiles) float64{
			func(q latency.Quantiles) float64 { return q.P50 }, func(q latency.Quantiles) float64 { return q.P90 },
			func(q latency.Quantiles) float64 { return q.P99 }, func(q latency.Quantiles) float64 { return q.P999 }} {
			var v []float64
			for _, rec := range r.records {
				v = append(v, of(rec.Result.LatencyMS[class]))
			}
			slices.Sort(v)
			xy = append(xy, plotter.XY{X: float64(x), Y: median(v)})
		}
		if err := addLine(p, i, r.Policy, xy); err != nil {
			return nil, err
		}
	}
	widenForLegend(p, policies(rows), false)
	return p, nil
}

// newBarPlot returns a function that draws one figure of each policy with its interval.
func newBarPlot(title string, figure func(*Row) Interval) func([]*Row) (*plot.Plot, error) {
	return func(rows []*Row) (*plot.Plot, error) {
		p := plot.New()
		p.Title.Text = title
		var values plotter.Values
		var intervals errorBars
		for i, r := range rows {
			v := figure(r)
			values = append(values, v.Median)
			intervals.XYs = append(intervals.XYs, plotter.XY{X: float64(i), Y: v.Median})
			intervals.YErrors = append(intervals.YErrors, struct{ Low, High float64 }{v.Median - v.Low, v.High - v.Median})
		}
		b, err := plotter.NewBarChart(values, vg.Points(14))
		if err != nil {
			return nil, err
		}
		b.Color = color.RGBA{R: 90, G: 130, B: 180, A: 255}
		e, err := plotter.NewYErrorBars(intervals)
		if err != nil {
			return nil, err
		}
		p.Add(b, e)
		p.NominalX(policies(rows)...)
		p.X.Tick.Label.Rotation = math.Pi / 5
		p.X.Tick.Label.XAlign = -1
		p.Y.Min = 0
		if !slices.ContainsFunc(rows, func(r *Row) bool { return figure(r).High > 0 }) {
			// All values are 0: without a maximum the plot's scale would go from -1 to 1.
			p.Y.Max = 1
		}
		return p, nil
	}
}

// errorBars holds the points and intervals of a bar plot.
type errorBars struct {
	plotter.XYs
	plotter.YErrors
}

// plotCosts draws the emulation cost of a request against the number of backends. It returns nil if
// all fleets have the same size.
func plotCosts(rows []*Row) (*plot.Plot, error) {
	curves, sizes := map[string]plotter.XYs{}, map[float64]bool{}
	for _, r := range rows {
		curves[r.Policy] = append(curves[r.Policy], plotter.XY{X: r.Backends, Y: r.CostUS.Median})
		sizes[r.Backends] = true
	}
	if len(sizes) < 2 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Emulation of one req", "backends", "µs"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	names := make([]string, 0, len(curves))
	for n := range curves {
		names = append(names, n)
	}
	sort.Strings(names)
	for i, n := range names {
		xy := curves[n]
		sort.Slice(xy, func(a, b int) bool { return xy[a].X < xy[b].X })
		if err := addLine(p, i, n, xy); err != nil {
			return nil, err
		}
	}
	widenForLegend(p, names, true)
	return p, nil
}

// pageTemplate is the HTML page of a report.
var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"range3": func(r Interval) string { return fmt.Sprintf("%.3f [%.3f, %.3f]", r.Median, r.Low, r.High) },
	"range1": func(r Interval) string { return fmt.Sprintf("%.1f [%.1f, %.1f]", r.Median, r.Low, r.High) },
	"join":   func(s []string) string { return strings.Join(s, ", ") },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:14px/1.4 sans-serif;margin:2em;max-width:110em}table{border-collapse:collapse}td,th{padding:.2em .7em;border-bottom:1px solid #ccc;text-align:right}
td:nth-child(-n+3),th:nth-child(-n+3){text-align:left}.bad{color:#b00}figure{display:inline-block;margin:.5em}</style></head><body>
<h1>{{.Title}}</h1>
<p>Medians over the days of each row, with 95% bootstrap intervals. Rules: days with a breach (unanswered, double effects, late drain sends, felled backends).</p>
<table><tr><th>variant</th><th>grid</th><th>policy</th><th>days</th><th>G</th><th>p99 ms</th><th>retries a req</th><th>sends to cold</th><th>rules</th><th>µs a req</th></tr>
{{range .Rows}}<tr><td>{{.Variant}}</td><td>{{join .Grid}}</td><td>{{.Policy}}</td><td>{{.Runs}}</td><td>{{range3 .G}}</td><td>{{range1 .P99}}</td><td>{{range3 .Retries}}</td><td>{{range1 .SendsToCold}}</td><td>{{range .RunsWithViolations}}{{.}} {{end}}</td><td>{{range1 .CostUS}}</td></tr>
{{end}}</table>
{{range .Parts}}<h2>{{.Title}}</h2>{{range .Plots}}<figure>{{.}}</figure>{{end}}
{{end}}</body></html>
`))
