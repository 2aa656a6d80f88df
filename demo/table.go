package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// row is one line of the result table.
type row struct {
	work string // name of the row
	sent int64
	done int64
	note string
	ok   bool // printed as "ok" or "SHORT"
}

// printRows writes the table to w and reports whether all rows are ok.
func printRows(w io.Writer, rows []row) bool {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "work\tsent\tdone\tresult\tnote")
	ok := true
	for _, r := range rows {
		result := "ok"
		if !r.ok {
			result, ok = "SHORT", false
		}
		fmt.Fprintf(tw, "%s\t%d\t%d\t%s\t%s\n", r.work, r.sent, r.done, result, r.note)
	}
	tw.Flush()
	return ok
}
