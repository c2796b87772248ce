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

// pageTemplate is the template of the page; its text is part of the program, so it parses.
var pageTemplate = template.Must(template.New("page").Parse(pageSource))

// WriteHTML writes the report as one HTML page that holds its plots.
func (made *Report) WriteHTML(out io.Writer) error {
	var text bytes.Buffer
	if err := made.WriteText(&text); err != nil {
		return err
	}
	filled := struct {
		Title string
		Text  string
		Plots []template.HTML
	}{Title: made.headingLines()[0], Text: text.String()}
	for _, wanted := range []barPlot{made.timelinePlot(), made.targetMissPlot(), made.timeSpentPlot(), made.fillPlot()} {
		if len(wanted.labels) == 0 {
			continue
		}
		drawn, err := wanted.svg()
		if err != nil {
			return err
		}
		filled.Plots = append(filled.Plots, drawn)
	}
	return errors.Wrap(pageTemplate.Execute(out, filled), "write the page")
}
