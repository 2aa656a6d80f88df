package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// column is one column of a table with rows of type V.
type column[V any] struct {
	title string
	cell  func(V) any
}

// render writes rows as a table, or value as JSON, depending on the output
// format.
func render[V any](c *cli, value any, rows []V, columns ...column[V]) error {
	if c.output == "json" {
		return writeJSON(c.out, value)
	}
	return writeTable(c.out, rows, columns)
}

// writeJSON writes v as indented JSON.
func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

// writeTable writes a line with the titles and a line for each row.
func writeTable[V any](w io.Writer, rows []V, columns []column[V]) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i, c := range columns {
		fmt.Fprint(tw, separator(i), c.title)
	}
	fmt.Fprintln(tw)
	for _, r := range rows {
		for i, c := range columns {
			fmt.Fprint(tw, separator(i), c.cell(r))
		}
		fmt.Fprintln(tw)
	}
	return tw.Flush()
}

// separator returns the separator before column i.
func separator(i int) string {
	if i == 0 {
		return ""
	}
	return "\t"
}
