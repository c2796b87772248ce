package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"ambertiller.example/ambertiller/api"
)

const (
	outputTable  = "table"
	outputJSON   = "json"
	tablePadding = 2
	kibibyte     = 1024
)

// printer prints the result of a command as a table or as JSON.
type printer struct {
	out    io.Writer
	asJSON bool
}

// newPrinter returns a printer for the format that the flag --output selects. It adds a fault to
// flags if the format is unknown.
func newPrinter(cmd *cli.Command, flags *settings) *printer {
	format := cmd.String("output")
	if format != outputTable && format != outputJSON {
		flags.addFault("output", "must be table or json, not "+format)
	}
	return &printer{out: cmd.Root().Writer, asJSON: format == outputJSON}
}

// print prints data as JSON, or header and rows as a table.
func (p *printer) print(data any, header []string, rows [][]string) error {
	if p.asJSON {
		encoder := json.NewEncoder(p.out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(data), "print")
	}
	table := tabwriter.NewWriter(p.out, 0, 0, tablePadding, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return errors.Wrap(table.Flush(), "print")
}

// printFields prints data as JSON, or pairs of names and values as a table.
func (p *printer) printFields(data any, pairs ...string) error {
	var rows [][]string
	for index := 0; index+1 < len(pairs); index += 2 {
		rows = append(rows, []string{pairs[index], pairs[index+1]})
	}
	return p.print(data, []string{"FIELD", "VALUE"}, rows)
}

// formatFaults returns faults in one line, each with its position and path if it has them.
func formatFaults(faults []api.Fault) string {
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		line := fault.Message
		if fault.Path != "" {
			line = fault.Path + ": " + line
		}
		if fault.Line > 0 {
			line = fmt.Sprintf("%d:%d: %s", fault.Line, fault.Column, line)
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "; ")
}

func formatFloat(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

func formatInt(value int) string { return strconv.Itoa(value) }

func formatUint(value uint64) string { return strconv.FormatUint(value, 10) }

// formatBytes formats a number of bytes in the largest binary unit of which it is at least one.
func formatBytes(value int64) string {
	scaled, unit := float64(value), "B"
	for _, next := range []string{"KiB", "MiB", "GiB", "TiB"} {
		if scaled < kibibyte {
			break
		}
		scaled, unit = scaled/kibibyte, next
	}
	return strconv.FormatFloat(scaled, 'f', -1, 64) + unit
}
