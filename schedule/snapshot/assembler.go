package snapshot

import (
	"errors"

	"mimosadock/schedule/record"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

var errChecksum = errors.New("snapshot: checksum is wrong")

// Limits of the snapshots that are under way at once. Beyond them the one that
// was begun first is given up.
const (
	maxOpen      = 64
	maxOpenBytes = 2 * MaxBytes
)

// Found is a complete snapshot and where it lies. From is the offset of the
// first of its records that was read, To that of the last. ID is the id of the
// record that completed it.
type Found struct {
	Contents
	ID     record.ID
	From   unit.Offset
	To     unit.Offset
	Others []Ref
}

// key tells snapshots under way apart.
type key struct {
	writer unit.Instance
	id     record.ID
}

// assembly is a snapshot under way.
type assembly struct {
	begun    uint64 // order of the first record
	end      *End
	parts    map[int][]byte
	bytes    int
	from, to unit.Offset
}

// Assembler joins snapshots from their records, which may come in any order
// and between those of other snapshots. The zero value is ready to use.
type Assembler struct {
	Rejected uint64 // snapshots with a wrong checksum or contents
	Dropped  uint64 // incomplete snapshots given up for lack of room

	open  table.Table[key, assembly]
	begun uint64
	bytes int
}

// Add takes the record of an item and returns the snapshot that it completes.
// Other kinds of records are ignored.
func (a *Assembler) Add(it record.Item) (Found, bool) {
	if it.Fault != record.Sound {
		return Found{}, false
	}
	switch it.Record.Kind {
	case record.SnapshotPart:
		p, err := record.Decode[Part](it.Record)
		if err != nil || p.Index < 0 || p.Index >= MaxParts || len(p.Data) > PartBytes {
			a.Rejected++
			return Found{}, false
		}
		return a.addPart(it, p)
	case record.SnapshotEnd:
		e, err := record.Decode[End](it.Record)
		if err != nil || e.Parts < 1 || e.Parts > MaxParts {
			a.Rejected++
			return Found{}, false
		}
		return a.addEnd(it, e)
	}
	return Found{}, false
}

func (a *Assembler) addPart(it record.Item, p Part) (Found, bool) {
	k := key{it.Record.Writer, p.Snapshot}
	row := a.at(k, it.Offset)
	if _, ok := row.parts[p.Index]; !ok {
		row.parts[p.Index] = p.Data
		row.bytes += len(p.Data)
		a.bytes += len(p.Data)
	}
	return a.finish(k, it.Record.ID)
}

func (a *Assembler) addEnd(it record.Item, e End) (Found, bool) {
	k := key{it.Record.Writer, e.Snapshot}
	if row := a.at(k, it.Offset); row.end == nil {
		row.end = &e
	}
	return a.finish(k, it.Record.ID)
}

// at returns the row of k, extended to the offset, and makes room for it.
func (a *Assembler) at(k key, offset unit.Offset) *assembly {
	row := a.open.Get(k)
	if row == nil {
		a.begun++
		row = a.open.Put(k, assembly{begun: a.begun, parts: make(map[int][]byte), from: offset, to: offset})
	}
	row.from, row.to = min(row.from, offset), max(row.to, offset)
	for a.open.Len() > maxOpen || a.bytes > maxOpenBytes {
		a.giveUp(k)
	}
	return a.open.Get(k)
}

// giveUp drops the snapshot that was begun first, other than keep. There is
// one, because a single snapshot stays within the limits.
func (a *Assembler) giveUp(keep key) {
	var first key
	oldest := ^uint64(0)
	for k, row := range a.open.All() {
		if k != keep && row.begun < oldest {
			first, oldest = k, row.begun
		}
	}
	a.remove(first)
	a.Dropped++
}

func (a *Assembler) remove(k key) {
	a.bytes -= a.open.Get(k).bytes
	a.open.Delete(k)
}

func (a *Assembler) finish(k key, id record.ID) (Found, bool) {
	row := a.open.Get(k)
	if row.end == nil || len(row.parts) < row.end.Parts {
		return Found{}, false
	}
	defer a.remove(k)
	parts := make([][]byte, row.end.Parts)
	for i := range parts {
		data, ok := row.parts[i]
		if !ok {
			a.Rejected++
			return Found{}, false
		}
		parts[i] = data
	}
	c, err := decode(*row.end, parts)
	if err != nil {
		a.Rejected++
		return Found{}, false
	}
	return Found{Contents: c, ID: id, From: row.from, To: row.to, Others: row.end.Others}, true
}

// Newest keeps the newest snapshot of each scope. The zero value is empty.
type Newest struct {
	table.Table[Scope, Found]
}

// Offer keeps f if it covers more than the snapshot that is kept, and reports
// whether it did.
func (n *Newest) Offer(f Found) bool {
	row := n.Get(f.Scope)
	if row != nil && row.Fresh == f.Fresh && (row.At > f.At || row.At == f.At && row.To >= f.To) {
		return false
	}
	if row != nil && !row.Fresh && f.Fresh {
		return false
	}
	n.Put(f.Scope, f)
	return true
}

// last returns the snapshot whose end record lies furthest, or nil.
func (n *Newest) last() *Found {
	var last *Found
	for _, f := range n.All() {
		if last == nil || f.To > last.To {
			last = f
		}
	}
	return last
}

// Floor returns the offset down to which a reader that goes back from the end
// has to look for the snapshots of all scopes, and false if none is known yet.
func (n *Newest) Floor() (unit.Offset, bool) {
	last := n.last()
	if last == nil {
		return 0, false
	}
	if common := n.Get(Common); common != nil && common.Fresh {
		return 0, true
	}
	return n.lowest(last, last.From), true
}

// Start returns the offset of the first record that isn't in a snapshot of its
// scope, and false if everything that can be read is needed because there is
// no common snapshot.
func (n *Newest) Start() (unit.Offset, bool) {
	if n.Get(Common) == nil {
		return 0, false
	}
	last := n.last()
	start := last.At
	for _, f := range n.All() {
		start = min(start, f.At)
	}
	return n.lowest(last, start), true
}

// lowest returns the lowest of the offset and the references of f to scopes
// without a snapshot.
func (n *Newest) lowest(f *Found, offset unit.Offset) unit.Offset {
	for _, r := range f.Others {
		if n.Get(r.Scope) == nil {
			offset = min(offset, r.From)
		}
	}
	return offset
}
