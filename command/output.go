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

// printer prints data as a table or as JSON.
type printer struct {
	out    io.Writer
	asJSON bool
}

func newPrinter(from *cli.Command, given *settings) *printer {
	format := from.String("output")
	if format != outputTable && format != outputJSON {
		given.addFault("output", "must be table or json, not "+format)
	}
	return &printer{out: from.Root().Writer, asJSON: format == outputJSON}
}

// print prints data: as JSON, or as the table of a header and rows.
func (printing *printer) print(data any, header []string, rows [][]string) error {
	if printing.asJSON {
		encoder := json.NewEncoder(printing.out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(data), "print")
	}
	table := tabwriter.NewWriter(printing.out, 0, 0, tablePadding, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		if _, err := fmt.Fprintln(table, strings.Join(row, "\t")); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return errors.Wrap(table.Flush(), "print")
}

// printFields prints one thing as a table of names and values.
func (printing *printer) printFields(data any, pairs ...string) error {
	var rows [][]string
	for index := 0; index+1 < len(pairs); index += 2 {
		rows = append(rows, []string{pairs[index], pairs[index+1]})
	}
	return printing.print(data, []string{"FIELD", "VALUE"}, rows)
}

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

// formatBytes writes a number of bytes with a unit.
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
