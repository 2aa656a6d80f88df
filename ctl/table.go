package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// column is one column of a table of rows of type V.
type column[V any] struct {
	head string
	cell func(V) any
}

// show writes rows as a table, or value as JSON.
func show[V any](c *command, value any, rows []V, columns ...column[V]) error {
	if c.output == "json" {
		return writeJSON(c.out, value)
	}
	return writeTable(c.out, rows, columns)
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return enc.Encode(v)
}

func writeTable[V any](w io.Writer, rows []V, columns []column[V]) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i, c := range columns {
		fmt.Fprint(tw, separator(i), c.head)
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

func separator(i int) string {
	if i == 0 {
		return ""
	}
	return "\t"
}
