package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// row is one line of the table that the main job prints.
type row struct {
	work string
	sent int64
	done int64
	note string
	ok   bool
}

// printRows writes the table and reports whether every row is as it should be.
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
