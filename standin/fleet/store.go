package fleet

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// PartitionCount is the number of partitions of a topic.
const PartitionCount = 24

// Store simulates the platform's store in memory. Use [NewStore].
type Store struct {
	// LoseAnswers drops the answers to appends after they took effect.
	LoseAnswers atomic.Bool
	// Down answers every call with 503.
	Down atomic.Bool
	// Delay is added to every call, in nanoseconds.
	Delay atomic.Int64

	server     *httptest.Server
	mu         sync.Mutex
	changed    chan struct{} // closed and replaced by each append
	partitions map[partitionKey]*partition
	group      group
}

type partitionKey struct {
	topic     string
	partition int
}

type partition struct {
	records  [][]byte       // each starts with the length of its key and the key
	newest   map[string]int // index in records by key; removed keys are absent
	epoch    uint64         // of the last append with a producer id
	sequence int64          // of the last append with a producer id, -1 before the first
	offset   int            // of the first record of the last append
}

// NewStore starts an empty store on a free port of 127.0.0.1.
func NewStore() *Store { return NewStoreAt("127.0.0.1") }

// NewStoreAt starts an empty store on a free port of a loopback address, which its
// executors use too.
func NewStoreAt(ip string) *Store {
	listener, err := net.Listen("tcp4", addressAt(ip, 0))
	if err != nil {
		panic("fleet: the loopback address is not available: " + err.Error())
	}
	s := &Store{changed: make(chan struct{}), partitions: make(map[partitionKey]*partition)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.serveAppend)
	mux.HandleFunc("GET /-/log-read", s.serveRead)
	mux.HandleFunc("GET /-/log-newest", s.serveNewest)
	mux.HandleFunc("POST /-/log-join", s.serveJoin)
	mux.HandleFunc("POST /-/log-leave", s.serveLeave)
	mux.HandleFunc("GET /-/log-owners", s.serveOwners)
	s.server = serveOn(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.Down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(time.Duration(s.Delay.Load()))
		mux.ServeHTTP(w, r)
	}))
	return s
}

// Address returns the address of the store as "ip:port".
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Put sets the value of a key of a keyed topic, like the operator and the
// executors of the platform. An empty value removes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendRecord(partitionKey{topic, 0}, append(append([]byte{byte(len(key))}, key...), value...))
	s.notifyReaders()
}

// PutMalformed appends a record to a keyed topic that need not have a key. It
// appears in reads only.
func (s *Store) PutMalformed(topic string, record []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(partitionKey{topic, 0})
	p.records = append(p.records, record)
	s.notifyReaders()
}

// Get returns the newest value of a key of a keyed topic, or nil if the key has
// none.
func (s *Store) Get(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(partitionKey{topic, 0})
	i, ok := p.newest[key]
	if !ok {
		return nil
	}
	return p.records[i][1+len(key):]
}

func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) partition(k partitionKey) *partition {
	p := s.partitions[k]
	if p == nil {
		p = &partition{newest: make(map[string]int), sequence: -1}
		s.partitions[k] = p
	}
	return p
}

func (s *Store) appendRecord(k partitionKey, record []byte) {
	p := s.partition(k)
	key := string(record[1 : 1+record[0]])
	p.newest[key] = len(p.records)
	if len(record) == 1+len(key) {
		delete(p.newest, key)
	}
	p.records = append(p.records, record)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails if the client has disconnected
}

func partitionKeyOf(r *http.Request) partitionKey {
	part, _ := strconv.Atoi(r.URL.Query().Get("part"))
	return partitionKey{r.URL.Query().Get("topic"), part}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	epoch, _ := strconv.ParseUint(r.URL.Query().Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(r.URL.Query().Get("sequence"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(partitionKeyOf(r))
	q := r.URL.Query()
	expectedEnd := q.Get("at")
	switch {
	case expectedEnd != "" && expectedEnd != strconv.Itoa(len(p.records)):
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"end": len(p.records)})
		return
	case !q.Has("producer_id"): // the append has no sequence number
		epoch, sequence = p.epoch, p.sequence
	case epoch < p.epoch:
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "fenced"})
		return
	case epoch == p.epoch && sequence == p.sequence:
		writeJSON(w, http.StatusOK, map[string]int{"offset": p.offset, "end": len(p.records)})
		return
	case epoch == p.epoch && len(body) > 0 && sequence != p.sequence+1:
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1})
		return
	}
	p.epoch, p.sequence, p.offset = epoch, sequence, len(p.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.appendRecord(partitionKeyOf(r), slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	s.notifyReaders()
	if s.LoseAnswers.Load() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]int{"offset": p.offset, "end": len(p.records)})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p, changed := s.partition(partitionKeyOf(r)), s.changed
		records := p.records[min(from, len(p.records)):]
		end := len(p.records)
		s.mu.Unlock()
		if len(records) > 0 || wait == 0 {
			writeRecords(w, end, records)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w io.Writer, end int, records [][]byte) {
	b := binary.BigEndian.AppendUint64(nil, uint64(end))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, rec := range records {
		b = append(binary.BigEndian.AppendUint32(b, uint32(len(rec))), rec...)
	}
	_, _ = w.Write(b) // fails if the client has disconnected
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(partitionKeyOf(r))
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	items := []item{}
	for k, i := range p.newest {
		items = append(items, item{k, p.records[i][1+len(k):], i})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": false, "end": len(p.records)})
}
