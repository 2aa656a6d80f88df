package platform

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/journal"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

var _ journal.Follower = (*Journal)(nil)

// endHeader names the header with the position of the next append.
const endHeader = "Mimosa-End"

// maxAnswerBytes bounds an answer of the journal.
const maxAnswerBytes = 16 << 20

// Connections of the client.
const (
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
	idleConnections = 4
)

// Journal is a client of the platform's journal over HTTP. Use [NewJournal].
type Journal struct {
	base      url.URL
	transport *http.Transport
}

// NewJournal returns a client of the journal at "ip:port".
func NewJournal(address string) *Journal {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &Journal{
		base: url.URL{Scheme: "http", Host: address},
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			IdleConnTimeout:     idleTimeout,
			MaxIdleConnsPerHost: idleConnections,
			DisableCompression:  true,
		},
	}
}

// Close closes the idle connections.
func (j *Journal) Close() { j.transport.CloseIdleConnections() }

// Append adds data as one entry.
func (j *Journal) Append(ctx context.Context, data []byte) (unit.Offset, error) {
	if unit.Bytes(len(data)) > journal.MaxEntryBytes {
		return 0, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "entry is too large", Err: journal.ErrTooLarge}
	}
	u := j.base.JoinPath("append")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), once(data))
	if err != nil {
		return 0, &verdict.Error{Verdict: verdict.DidNotRun, Reason: "append could not be made", Err: err}
	}
	req.ContentLength = int64(len(data))
	var answer struct {
		Offset *unit.Offset `json:"offset"`
	}
	if err := j.call(req, decodeJSON(&answer)); err != nil {
		return 0, err
	}
	if answer.Offset == nil {
		return 0, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "answer of the journal has no offset"}
	}
	return *answer.Offset, nil
}

// once returns a body that can be read only once. A body that can be rewound
// would let net/http send the request again by itself on another connection.
func once(data []byte) io.Reader { return io.MultiReader(bytes.NewReader(data)) }

// Read returns up to limit entries from offset on.
func (j *Journal) Read(ctx context.Context, from unit.Offset, limit int) ([]journal.Entry, error) {
	page, err := j.Follow(ctx, from, limit, 0)
	return page.Entries, err
}

// Follow reads like Read and waits at the end.
func (j *Journal) Follow(ctx context.Context, from unit.Offset, limit int, wait clock.Span) (journal.Page, error) {
	u := j.base.JoinPath("entries")
	u.RawQuery = url.Values{
		"from":   {strconv.FormatUint(uint64(from), 10)},
		"limit":  {strconv.Itoa(limit)},
		"waitMs": {strconv.FormatInt(int64(wait), 10)},
	}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return journal.Page{}, err
	}
	page := journal.Page{}
	err = j.call(req, func(resp *http.Response, body io.Reader) error {
		end, err := strconv.ParseUint(resp.Header.Get(endHeader), 10, 64)
		if err != nil {
			return err
		}
		page.End = unit.Offset(end)
		page.Entries, err = readEntries(bufio.NewReader(body), from)
		return err
	})
	return page, err
}

// readEntries reads entries with consecutive offsets, each behind its length
// as an unsigned varint.
func readEntries(r *bufio.Reader, from unit.Offset) ([]journal.Entry, error) {
	var out []journal.Entry
	for {
		n, err := binary.ReadUvarint(r)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, err
		}
		if n > uint64(journal.MaxEntryBytes) {
			return nil, journal.ErrTooLarge
		}
		data := make([]byte, n)
		if _, err := io.ReadFull(r, data); err != nil {
			return nil, err
		}
		out = append(out, journal.Entry{Offset: from + unit.Offset(len(out)), Data: data})
	}
}

// Bounds returns the readable positions.
func (j *Journal) Bounds(ctx context.Context) (journal.Bounds, error) {
	var answer struct {
		First unit.Offset `json:"first"`
		Next  unit.Offset `json:"next"`
	}
	err := j.get(ctx, j.base.JoinPath("bounds"), &answer)
	return journal.Bounds(answer), err
}

func (j *Journal) get(ctx context.Context, u *url.URL, answer any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return err
	}
	return j.call(req, decodeJSON(answer))
}

// decodeJSON returns a function that decodes an answer into v.
func decodeJSON(v any) func(*http.Response, io.Reader) error {
	return func(_ *http.Response, body io.Reader) error { return json.NewDecoder(body).Decode(v) }
}

// call sends req and hands a successful answer to decode. It uses the transport directly, so
// that no redirect sends a request twice.
func (j *Journal) call(req *http.Request, decode func(*http.Response, io.Reader) error) error {
	resp, err := j.transport.RoundTrip(req)
	if err != nil {
		return transportError(err)
	}
	defer resp.Body.Close()
	body := io.LimitReader(resp.Body, maxAnswerBytes)
	if resp.StatusCode != http.StatusOK {
		return statusError(resp, body)
	}
	if err := decode(resp, body); err != nil {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "answer of the journal is cut off", Err: err}
	}
	_, _ = io.Copy(io.Discard, body) // so that the connection is used again
	return nil
}

// transportError has the verdict DidNotRun only for a dial that failed. The
// transport reports other errors only after it may have written a byte.
func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &verdict.Error{Verdict: verdict.DidNotRun, Reason: "journal can't be connected to", Err: err}
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "connection to the journal failed", Err: err}
}

func statusError(resp *http.Response, body io.Reader) error {
	text, _ := io.ReadAll(io.LimitReader(body, 256))
	e := &verdict.Error{Verdict: verdict.MayHaveRun, Reason: fmt.Sprintf("journal answered %d: %s", resp.StatusCode, bytes.TrimSpace(text))}
	var v verdict.Verdict
	if v.UnmarshalText([]byte(resp.Header.Get("Mimosa-Verdict"))) == nil {
		e.Verdict = v
	}
	switch resp.StatusCode {
	case http.StatusGone:
		e.Verdict, e.Err = verdict.DidNotRun, journal.ErrExpired
	case http.StatusRequestEntityTooLarge:
		e.Verdict, e.Err = verdict.DidNotRun, journal.ErrTooLarge
	}
	return e
}
