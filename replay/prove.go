package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"mimosadock/replay/outcome"
	"mimosadock/replay/page"
	"mimosadock/replay/proof"
)

// errBoundsMissed is returned when a figure misses its bound.
var errBoundsMissed = errors.New("at least one figure misses its bound")

// prove replays the named traces and prints their figures with bounds to out,
// with further figures and violations as comments. It returns errBoundsMissed if
// a figure misses its bound.
func prove(out io.Writer, s settings) error {
	results, err := replayAll(s)
	if err != nil {
		return err
	}
	ok := true
	for _, r := range results {
		ok = outcome.Print(out, r.Lines) && ok
		for _, name := range r.WithoutBound {
			fmt.Fprintf(out, "# %s.%s\n", r.Name, r.Figures.Format(name))
		}
		for _, v := range r.Violations {
			fmt.Fprintf(out, "# %s %s\n", r.Name, v)
		}
	}
	if !ok {
		return errBoundsMissed
	}
	return nil
}

// replayAll replays the named traces, or all traces of the directory if none is
// named.
func replayAll(s settings) ([]*proof.Result, error) {
	names := s.names
	if len(names) == 0 {
		var err error
		if names, err = proof.Names(s.traces); err != nil {
			return nil, err
		}
	}
	results := make([]*proof.Result, 0, len(names))
	for _, name := range names {
		r, err := proof.Run(s.traces, name)
		if err != nil {
			return nil, err
		}
		results = append(results, r)
	}
	return results, nil
}

// report replays the named traces and writes the HTML page of the results.
func report(s settings) error {
	results, err := replayAll(s)
	if err != nil {
		return err
	}
	var buf bytes.Buffer
	if err := page.Write(&buf, results); err != nil {
		return err
	}
	return os.WriteFile(s.out, buf.Bytes(), 0o644)
}
