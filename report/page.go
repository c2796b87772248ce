package report

import (
	"bytes"
	_ "embed"
	"html/template"
	"io"

	"github.com/pkg/errors"
)

//go:embed page.html
var pageText string

// page is the template of the page; its text is part of the program, so it parses.
var page = template.Must(template.New("page").Parse(pageText))

// WritePage writes the report as one HTML page that holds its plots.
func (made *Report) WritePage(out io.Writer) error {
	var text bytes.Buffer
	if err := made.WriteText(&text); err != nil {
		return err
	}
	filled := struct {
		Title string
		Text  string
		Plots []template.HTML
	}{Title: made.heading()[0], Text: text.String()}
	for _, wanted := range []barPlot{made.timelinePlot(), made.overPlot(), made.spentPlot(), made.fillingPlot()} {
		if len(wanted.labels) == 0 {
			continue
		}
		drawn, err := wanted.svg()
		if err != nil {
			return err
		}
		filled.Plots = append(filled.Plots, drawn)
	}
	return errors.Wrap(page.Execute(out, filled), "write the page")
}
