package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"pinedale/internal/config"
	"pinedale/internal/policy"
)

// printCheckJSON prints the version, the warnings and the table of a valid file as JSON.
func printCheckJSON(out io.Writer, file *config.File) error {
	var warnings []string
	for _, warning := range file.Warnings() {
		warnings = append(warnings, warning.Error())
	}
	table := file.Table()
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(struct {
		Version  string       `json:"version"`
		Warnings []string     `json:"warnings"`
		Rows     []policy.Row `json:"rows"`
	}{table.Version, warnings, table.Rows()})
}

// printCheck prints a summary of a valid file, its warnings and its table.
func printCheck(out io.Writer, path string, file *config.File) error {
	fmt.Fprintf(out, "%s: good: %s\n", path, file.Summary())
	for _, warning := range file.Warnings() {
		fmt.Fprintf(out, "  warning: %v\n", warning)
	}
	fmt.Fprintf(out, "table %s\n", file.Table().Version)
	return printRows(out, file.Table().Rows())
}

// printRows prints the rows of a table in columns.
func printRows(out io.Writer, rows []policy.Row) error {
	columns := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(columns,
		"route\tmatches\tclass\tpool\tdeadline\ttry for\tattempts\tcopy after\tretries a request\tburst")
	for _, row := range rows {
		hedgeDelay := orDash(row.HedgeDelay)
		if !row.Hedging {
			hedgeDelay = "never"
		}
		fmt.Fprintf(columns, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%g\t%g\n",
			orDash(row.Route), orDash(row.Match), row.Class, orDash(row.Pool), row.Deadline, orDash(row.AttemptTimeout),
			row.Attempts, hedgeDelay, row.RetryRatio, row.RetryBurst)
	}
	return columns.Flush()
}

// orDash returns a cell, or a dash if the cell is empty.
func orDash(cell string) string { return cmp.Or(cell, "-") }
