package page

import (
	"bytes"
	"fmt"
	"html/template"
	"io"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"mimosadock/replay/proof"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
)

// section is the part of the page for one trace. The template uses its field
// names.
type section struct {
	*proof.Result
	Pictures []renderedPlot
}

// renderedPlot is one plot rendered as SVG.
type renderedPlot struct {
	Title string
	SVG   template.HTML
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>mimosadock replay</title>
<style>
body{font:15px/1.5 sans-serif;margin:2em auto;max-width:72em;color:#222}
table{border-collapse:collapse}td,th{padding:.15em .8em;text-align:left;border-bottom:1px solid #ddd}
td.n{text-align:right;font-variant-numeric:tabular-nums}.SHORT{color:#b00;font-weight:bold}
figure{display:inline-block;margin:1em 1em 0 0}svg{max-width:100%;height:auto}
</style></head><body>
<h1>Replay of traces</h1>
<p>All traces are synthetic. Bounds come from the targets of the design page.</p>
<ul>{{range .}}<li><a href="#{{.Name}}">{{.Name}}</a></li>{{end}}</ul>
{{range .}}<h2 id="{{.Name}}">{{.Name}}</h2>
<table><tr><th>outcome</th><th>value</th><th>bound</th><th></th><th>baselines</th></tr>
{{range .Lines}}<tr><td>{{.Name}}</td><td class="n">{{if .Missing}}missing{{else}}{{printf "%.5g" .Value}}{{end}}</td>
<td class="n">{{.Side}} {{printf "%.5g" .Bound}}</td>{{if .OK}}<td>ok</td>{{else}}<td class="SHORT">SHORT</td>{{end}}
<td>{{range .Baselines}}{{.}} {{end}}</td></tr>
{{end}}</table>
{{range .Pictures}}<figure><figcaption>{{.Title}}</figcaption>{{.SVG}}</figure>
{{end}}{{end}}</body></html>
`))

// Write writes the page of the results to w.
func Write(w io.Writer, results []*proof.Result) error {
	sections := make([]section, 0, len(results))
	for _, r := range results {
		s := section{Result: r}
		for _, p := range r.Plots {
			svg, err := renderSVG(p)
			if err != nil {
				return fmt.Errorf("page: %s: %s: %w", r.Name, p.Title, err)
			}
			s.Pictures = append(s.Pictures, renderedPlot{p.Title, svg})
		}
		sections = append(sections, s)
	}
	return pageTemplate.Execute(w, sections)
}

// renderSVG renders a plot as an SVG element.
func renderSVG(p proof.Plot) (template.HTML, error) {
	out := plot.New()
	out.X.Label.Text = "time (s)"
	out.Y.Label.Text = p.Unit
	out.Y.Min = 0
	out.Legend.Top = true
	out.Add(plotter.NewGrid())
	for i, c := range p.Curves {
		if len(c.Points) == 0 {
			continue
		}
		xys := make(plotter.XYs, len(c.Points))
		for k, pt := range c.Points {
			xys[k].X, xys[k].Y = pt.At, pt.Value
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return "", err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		out.Add(line)
		out.Legend.Add(c.Name, line)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	out.Draw(draw.New(canvas))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", err
	}
	// HTML allows neither the XML declaration nor the comments before the
	// element.
	svg := buf.String()
	start := strings.Index(svg, "<svg")
	if start < 0 {
		return "", fmt.Errorf("the rendered plot has no svg element")
	}
	return template.HTML(svg[start:]), nil
}
