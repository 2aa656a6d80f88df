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

// errBoundsMissed is returned when an outcome misses its bound.
var errBoundsMissed = errors.New("outcomes are short of their bounds")

// prove replays the named traces, prints their lines and fails if one is short.
func prove(out io.Writer, s settings) error {
	results, err := replayAll(s)
	if err != nil {
		return err
	}
	ok := true
	for _, r := range results {
		ok = outcome.Print(out, r.Lines) && ok
		for _, name := range r.Unbounded {
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

// replayAll replays the named traces, or all.
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

// report writes the page of the named traces.
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
