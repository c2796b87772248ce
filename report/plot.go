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

// The size of a plot on the page.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 5 * vg.Millimeter
	// timelineBarWidth fits fifty slices beside each other.
	timelineBarWidth = 3 * vg.Millimeter
)

// barColors are told apart also by those who don't see red and green.
var barColors = []color.Color{
	color.RGBA{R: 0x44, G: 0x77, B: 0xaa, A: 0xff},
	color.RGBA{R: 0xee, G: 0x66, B: 0x77, A: 0xff},
	color.RGBA{R: 0xcc, G: 0xbb, B: 0x44, A: 0xff},
}

// series is one set of bars, with the name that the legend gives it.
type series struct {
	name   string
	values plotter.Values
}

// barPlot draws sets of bars, on top of each other or side by side.
type barPlot struct {
	title, unit string
	barWidth    vg.Length
	stacked     bool
	labels      []string
	series      []series
}

// svg draws the plot.
func (wanted barPlot) svg() (template.HTML, error) {
	drawn := plot.New()
	drawn.Title.Text = wanted.title
	drawn.Y.Label.Text = wanted.unit
	drawn.Legend.Top = true
	var below *plotter.BarChart
	for index, one := range wanted.series {
		bars, err := plotter.NewBarChart(one.values, wanted.barWidth)
		if err != nil {
			return "", errors.Wrapf(err, "plot %q", wanted.title)
		}
		bars.Color = barColors[index%len(barColors)]
		bars.LineStyle.Width = 0
		switch {
		case wanted.stacked && below != nil:
			bars.StackOn(below)
		case !wanted.stacked:
			bars.Offset = wanted.barWidth * vg.Length(2*index+1-len(wanted.series)) / 2
		}
		below = bars
		drawn.Add(bars)
		drawn.Legend.Add(one.name, bars)
	}
	drawn.NominalX(wanted.labels...)
	canvas := vgsvg.New(plotWidth, plotHeight)
	drawn.Draw(draw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.Wrapf(err, "plot %q", wanted.title)
	}
	// The text comes from the plotting library, which escapes what it is given.
	return template.HTML(out.String()), nil //nolint:gosec // see above.
}

// labelInterval is how many slices of a timeline share a label.
const labelInterval = 5

// timelinePlot shows jobs by when they were handed in.
func (made *Report) timelinePlot() barPlot {
	wanted := barPlot{
		title: "Jobs by when they were handed in", unit: "jobs", barWidth: timelineBarWidth, stacked: true,
		series: []series{{name: "in time"}, {name: "late or failed"}},
	}
	for index, slice := range made.Timeline {
		wanted.labels = append(wanted.labels, made.sliceLabel(index))
		wanted.series[0].values = append(wanted.series[0].values, float64(slice.InTime))
		wanted.series[1].values = append(wanted.series[1].values, float64(slice.Late))
	}
	return wanted
}

// targetMissPlot shows when serving tasks missed their targets, and runs that were evicted.
func (made *Report) targetMissPlot() barPlot {
	wanted := barPlot{
		title: "Serving tasks over their targets, and runs evicted", unit: "task seconds, runs", barWidth: timelineBarWidth / 2,
		series: []series{{name: "over target"}, {name: "evicted"}},
	}
	for index, slice := range made.Timeline {
		wanted.labels = append(wanted.labels, made.sliceLabel(index))
		wanted.series[0].values = append(wanted.series[0].values, slice.MissTime.Seconds())
		wanted.series[1].values = append(wanted.series[1].values, float64(slice.Evicted))
	}
	return wanted
}

// sliceLabel names every fifth slice by its first second.
func (made *Report) sliceLabel(index int) string {
	if index%labelInterval != 0 {
		return ""
	}
	return strconv.Itoa(index * int(sliceLength/time.Second))
}

// fillPlot shows how long filling tasks took, against their estimates.
func (made *Report) fillPlot() barPlot {
	wanted := barPlot{
		title: "Filling tasks by image, from the first place to the end", unit: "seconds", barWidth: barWidth,
		series: []series{{name: "estimate"}, {name: "slowest tenth"}, {name: "mean"}},
	}
	for _, filling := range made.FillImages {
		wanted.labels = append(wanted.labels, filling.Image)
		wanted.series[0].values = append(wanted.series[0].values, filling.MeanEstimate.Seconds())
		wanted.series[1].values = append(wanted.series[1].values, filling.SlowestTenth.Seconds())
		wanted.series[2].values = append(wanted.series[2].values, filling.MeanDuration.Seconds())
	}
	return wanted
}

// timeSpentPlot shows where the time of the jobs of all queues went that were not in time.
func (made *Report) timeSpentPlot() barPlot {
	spent := map[string]time.Duration{}
	for _, queue := range made.JobGroups {
		for _, one := range queue.TimeSpent {
			spent[one.Label] += one.Duration
		}
	}
	wanted := barPlot{
		title: "Where the time of jobs went that were not in time", unit: "seconds", barWidth: barWidth,
		series: []series{{name: "on the chain that decided"}},
	}
	ordered := sortedDurations(spent)
	for index, one := range ordered[:min(len(ordered), maxSharesShown)] {
		// Every other label stands lower: they are long.
		label := one.Label
		if index%2 == 1 {
			label = "\n" + label
		}
		wanted.labels = append(wanted.labels, label)
		wanted.series[0].values = append(wanted.series[0].values, one.Duration.Seconds())
	}
	return wanted
}
