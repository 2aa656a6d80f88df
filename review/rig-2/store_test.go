package rig

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const partitionCount = 24

// store is a stand-in of the platform's store: a log with keyed topics, appends
// with epochs, and groups of members. It loses nothing and its answers are
// linearizable.
type store struct {
	mu         sync.Mutex
	changed    chan struct{}
	partitions map[string]*partition
	generation uint64
	members    map[string]*member
	holders    [partitionCount]string
}

type partition struct {
	records         [][]byte
	newest          map[string]int
	epoch, sequence int64
	offset          int
}

type member struct {
	lastJoin   time.Time
	ttl        time.Duration
	generation uint64
}

func newStore() *store {
	return &store{changed: make(chan struct{}), partitions: make(map[string]*partition), members: make(map[string]*member)}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.serveAppend)
	mux.HandleFunc("GET /-/log-read", s.serveRead)
	mux.HandleFunc("GET /-/log-newest", s.serveNewest)
	mux.HandleFunc("POST /-/log-join", s.serveJoin)
	mux.HandleFunc("POST /-/log-leave", s.serveLeave)
	mux.HandleFunc("GET /-/log-owners", s.serveOwners)
	return mux
}

// put writes a record of the operator or of an executor. An empty value removes the
// key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, "0").add(append(append([]byte{byte(len(key))}, key...), value...))
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) partition(topic, part string) *partition {
	name := topic + "/" + part
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: make(map[string]int), epoch: -1, sequence: -1}
		s.partitions[name] = p
	}
	return p
}

func (p *partition) add(record []byte) {
	key := string(record[1 : 1+int(record[0])])
	if len(record) == 1+len(key) {
		delete(p.newest, key)
	} else {
		p.newest[key] = len(p.records)
	}
	p.records = append(p.records, record)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(p.records)) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": len(p.records)})
		return
	}
	offset := len(p.records)
	if q.Has("producer_id") {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
		switch {
		case epoch < p.epoch:
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch == p.epoch && sequence == p.sequence:
			answer(w, http.StatusOK, map[string]any{"offset": p.offset, "end": len(p.records)})
			return
		case epoch == p.epoch && len(body) > 0 && sequence != p.sequence+1:
			answer(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": p.sequence + 1})
			return
		}
		p.epoch, p.sequence, p.offset = epoch, sequence, offset
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		p.add(slices.Clone(body[4 : 4+n]))
		body = body[4+n:]
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"offset": offset, "end": len(p.records)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p, changed := s.partition(q.Get("topic"), q.Get("part")), s.changed
		records, end := p.records[min(from, len(p.records)):], len(p.records)
		s.mu.Unlock()
		if len(records) > 0 || wait == 0 {
			b := binary.BigEndian.AppendUint64(nil, uint64(end))
			b = binary.BigEndian.AppendUint64(b, 0)
			for _, record := range records {
				b = append(binary.BigEndian.AppendUint32(b, uint32(len(record))), record...)
			}
			_, _ = w.Write(b)
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

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	items, more := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(p.newest)) {
		if key <= q.Get("after") {
			continue
		}
		if more = len(items) == 500; more {
			break
		}
		i := p.newest[key]
		items = append(items, item{key, p.records[i][1+len(key):], i})
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": len(p.records)})
}

// assignee returns the member that a partition is assigned to.
func (s *store) assignee(part int) string {
	names := slices.Sorted(maps.Keys(s.members))
	if len(names) == 0 {
		return ""
	}
	return names[part%len(names)]
}

func (s *store) remove(name string) {
	delete(s.members, name)
	s.generation++
	for p := range s.holders {
		if s.holders[p] == name {
			s.holders[p] = ""
		}
	}
}

func (s *store) expire() {
	for name, m := range s.members {
		if time.Since(m.lastJoin) > m.ttl {
			s.remove(name)
		}
	}
}

func (s *store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Member     string   `json:"member_id"`
		Topics     []string `json:"topics"`
		TTL        int64    `json:"ttl_ms"`
		Generation uint64   `json:"generation"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || len(b.Topics) != 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.members[b.Member] == nil {
		s.generation++
	}
	s.members[b.Member] = &member{time.Now(), time.Duration(b.TTL) * time.Millisecond, b.Generation}
	parts := [][]any{}
	for p := range s.holders {
		if s.holders[p] == b.Member && s.assignee(p) != b.Member && b.Generation >= s.generation {
			s.holders[p] = ""
		}
		if s.holders[p] == "" && s.assignee(p) == b.Member {
			s.holders[p] = b.Member
		}
		if s.holders[p] == b.Member && s.assignee(p) == b.Member {
			parts = append(parts, []any{b.Topics[0], p, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"generation": s.generation, "parts": parts})
}

func (s *store) serveLeave(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Member string `json:"member_id"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(b.Member)
	answer(w, http.StatusOK, map[string]any{})
}

func (s *store) serveOwners(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	rows := [][]any{}
	for p, name := range s.holders {
		if name != "" {
			rows = append(rows, []any{"keyed.jobs", p, name, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"parts": rows})
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails if the client has left
}
