package trace

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
)

// gzipSuffix is the suffix of the names of compressed traces.
const gzipSuffix = ".gz"

// Trace is a whole trace in memory.
type Trace struct {
	Header Header
	Events []Event
}

// Write writes t to w with one JSON object per line. Equal traces give equal
// bytes.
func (t *Trace) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	if err := enc.Encode(&t.Header); err != nil {
		return err
	}
	for i := range t.Events {
		if err := enc.Encode(&t.Events[i]); err != nil {
			return err
		}
	}
	return nil
}

// Read reads a trace. It returns an error with the number of the line for an
// unknown field, an event earlier than its predecessor, or an entry host or
// service that doesn't exist.
func Read(r io.Reader) (*Trace, error) {
	dec := json.NewDecoder(bufio.NewReader(r))
	dec.DisallowUnknownFields()
	t := new(Trace)
	if err := dec.Decode(&t.Header); err != nil {
		return nil, fmt.Errorf("trace: line 1: %w", err)
	}
	if err := t.Header.check(); err != nil {
		return nil, err
	}
	for {
		var e Event
		err := dec.Decode(&e)
		if errors.Is(err, io.EOF) {
			return t, nil
		}
		if err == nil {
			err = t.checkNext(&e)
		}
		if err != nil {
			return nil, fmt.Errorf("trace: line %d: %w", len(t.Events)+2, err)
		}
		t.Events = append(t.Events, e)
	}
}

func (t *Trace) checkNext(e *Event) error {
	if n := len(t.Events); n > 0 && e.At < t.Events[n-1].At {
		return fmt.Errorf("event at %d ms follows one at %d ms", e.At, t.Events[n-1].At)
	}
	if e.At < 0 {
		return fmt.Errorf("event at %d ms is before the start of the trace", e.At)
	}
	if e.Entry < 0 || int(e.Entry) >= len(t.Header.Deployment.Entries) {
		return fmt.Errorf("entry host %d does not exist", e.Entry)
	}
	switch {
	case e.Type == Request && t.Header.Deployment.ServiceOf(e.Service) == nil:
		return fmt.Errorf("service %q does not exist", e.Service)
	case e.Type == Submit && (e.Job == nil || e.Job.Tasks <= 0):
		return errors.New("submission without a job or without tasks")
	}
	return nil
}

// Load reads the trace in the file at path, and decompresses it if its name
// ends in .gz.
func Load(path string) (*Trace, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if !strings.HasSuffix(path, gzipSuffix) {
		return Read(f)
	}
	z, err := gzip.NewReader(f)
	if err != nil {
		return nil, fmt.Errorf("trace: %s: %w", path, err)
	}
	return Read(z)
}

// Save writes t to the file at path, compressed if its name ends in .gz.
func (t *Trace) Save(path string) error {
	var buf bytes.Buffer
	if err := t.encode(&buf, strings.HasSuffix(path, gzipSuffix)); err != nil {
		return err
	}
	return os.WriteFile(path, buf.Bytes(), 0o644)
}

func (t *Trace) encode(w io.Writer, compress bool) error {
	if !compress {
		return t.Write(w)
	}
	// The gzip header contains no name and no time, so equal traces give equal
	// files.
	z, err := gzip.NewWriterLevel(w, gzip.BestCompression)
	if err != nil {
		return err
	}
	if err := t.Write(z); err != nil {
		return err
	}
	return z.Close()
}
