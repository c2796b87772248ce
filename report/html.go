package report

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"

	"github.com/pkg/errors"
)

//go:embed page.html
var pageSource string

// pageTemplate is the template of the HTML page. Parsing can't fail at run time, because the source is
// embedded in the program.
var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// WriteHTML writes the report as a self-contained HTML page with plots.
func (r *Report) WriteHTML(out io.Writer) error {
	var text bytes.Buffer
	if err := r.WriteText(&text); err != nil {
		return err
	}
	data := struct {
		Title string
		Text  string
		Plots []template.HTML
	}{Title: r.headingLines()[0], Text: text.String()}
	for _, p := range []barPlot{r.timelinePlot(), r.targetMissPlot(), r.timeSpentPlot(), r.fillPlot()} {
		if len(p.labels) == 0 {
			continue
		}
		svg, err := p.svg()
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, svg)
	}
	return errors.Wrap(pageTemplate.Execute(out, data), "write the HTML page")
}
