package report

import (
	"bytes"
	"html/template"
	"image/color"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of plots on the page.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 5 * vg.Millimeter
	// timelineBarWidth is narrow enough for fifty bars in a plot.
	timelineBarWidth = 3 * vg.Millimeter
)

// barColors can also be told apart by people with red-green color blindness.
var barColors = []color.Color{
	color.RGBA{R: 0x44, G: 0x77, B: 0xaa, A: 0xff},
	color.RGBA{R: 0xee, G: 0x66, B: 0x77, A: 0xff},
	color.RGBA{R: 0xcc, G: 0xbb, B: 0x44, A: 0xff},
}

// series is a set of bars with its name in the legend.
type series struct {
	name   string
	values plotter.Values
}

// barPlot is a plot of sets of bars, which are stacked or grouped side by side.
type barPlot struct {
	title, unit string
	barWidth    vg.Length
	stacked     bool
	labels      []string
	series      []series
}

// svg renders the plot as SVG.
func (p barPlot) svg() (template.HTML, error) {
	figure := plot.New()
	figure.Title.Text = p.title
	figure.Y.Label.Text = p.unit
	figure.Legend.Top = true
	var previous *plotter.BarChart
	for index, s := range p.series {
		bars, err := plotter.NewBarChart(s.values, p.barWidth)
		if err != nil {
			return "", errors.Wrapf(err, "plot %q", p.title)
		}
		bars.Color = barColors[index%len(barColors)]
		bars.LineStyle.Width = 0
		switch {
		case p.stacked && previous != nil:
			bars.StackOn(previous)
		case !p.stacked:
			bars.Offset = p.barWidth * vg.Length(2*index+1-len(p.series)) / 2
		}
		previous = bars
		figure.Add(bars)
		figure.Legend.Add(s.name, bars)
	}
	figure.NominalX(p.labels...)
	canvas := vgsvg.New(plotWidth, plotHeight)
	figure.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.Wrapf(err, "plot %q", p.title)
	}
	// The plotting library escapes the titles and labels that it is given.
	return template.HTML(out.String()), nil //nolint:gosec // see above.
}

// labelInterval is the number of slices per label on the time axis.
const labelInterval = 5

// timelinePlot shows how many jobs were in time, by the time of their acceptance.
func (r *Report) timelinePlot() barPlot {
	p := barPlot{
		title: "Jobs by when they were handed in", unit: "jobs", barWidth: timelineBarWidth, stacked: true,
		series: []series{{name: "in time"}, {name: "late or failed"}},
	}
	for index, slice := range r.Timeline {
		p.labels = append(p.labels, r.sliceLabel(index))
		p.series[0].values = append(p.series[0].values, float64(slice.InTime))
		p.series[1].values = append(p.series[1].values, float64(slice.Late))
	}
	return p
}

// targetMissPlot shows when serving tasks missed their targets and when runs were evicted.
func (r *Report) targetMissPlot() barPlot {
	p := barPlot{
		title: "Serving tasks over their targets, and runs evicted", unit: "task seconds, runs", barWidth: timelineBarWidth / 2,
		series: []series{{name: "over target"}, {name: "evicted"}},
	}
	for index, slice := range r.Timeline {
		p.labels = append(p.labels, r.sliceLabel(index))
		p.series[0].values = append(p.series[0].values, slice.MissTime.Seconds())
		p.series[1].values = append(p.series[1].values, float64(slice.Evicted))
	}
	return p
}

// sliceLabel returns the second at which a slice begins, or an empty label for most slices; see
// labelInterval.
func (r *Report) sliceLabel(index int) string {
	if index%labelInterval != 0 {
		return ""
	}
	return strconv.Itoa(index * int(sliceLength/time.Second))
}

// fillPlot compares the durations of fill tasks with their estimates.
func (r *Report) fillPlot() barPlot {
	p := barPlot{
		title: "Filling tasks by image, from the first place to the end", unit: "seconds", barWidth: barWidth,
		series: []series{{name: "estimate"}, {name: "slowest tenth"}, {name: "mean"}},
	}
	for _, fill := range r.FillImages {
		p.labels = append(p.labels, fill.Image)
		p.series[0].values = append(p.series[0].values, fill.MeanEstimate.Seconds())
		p.series[1].values = append(p.series[1].values, fill.SlowestTenth.Seconds())
		p.series[2].values = append(p.series[2].values, fill.MeanDuration.Seconds())
	}
	return p
}

// timeSpentPlot shows what the time of the jobs that were not in time was spent on, over all queues.
func (r *Report) timeSpentPlot() barPlot {
	times := map[string]time.Duration{}
	for _, group := range r.JobGroups {
		for _, t := range group.TimeSpent {
			times[t.Label] += t.Duration
		}
	}
	p := barPlot{
		title: "Where the time of jobs went that were not in time", unit: "seconds", barWidth: barWidth,
		series: []series{{name: "on the chain that decided"}},
	}
	sorted := sortedDurations(times)
	for index, t := range sorted[:min(len(sorted), maxSharesShown)] {
		// Labels are long, so every other one is moved down a line to keep neighbors from overlapping.
		label := t.Label
		if index%2 == 1 {
			label = "\n" + label
		}
		p.labels = append(p.labels, label)
		p.series[0].values = append(p.series[0].values, t.Duration.Seconds())
	}
	return p
}
