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
	maxIncomplete      = 64
	maxIncompleteBytes = 2 * MaxBytes
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

// snapshotKey tells snapshots under way apart.
type snapshotKey struct {
	writer unit.Instance
	id     record.ID
}

// assembly is a snapshot under way.
type assembly struct {
	sequence                uint64 // order of the first record
	end                     *End
	parts                   map[int][]byte
	bytes                   int
	firstOffset, lastOffset unit.Offset
}

// Assembler joins snapshots from their records, which may come in any order
// and between those of other snapshots. The zero value is ready to use.
type Assembler struct {
	Rejected uint64 // snapshots with a wrong checksum or contents
	Dropped  uint64 // incomplete snapshots given up for lack of room

	incomplete table.Table[snapshotKey, assembly]
	sequence   uint64
	bytes      int
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
		if err != nil || p.Index < 0 || p.Index >= MaxParts || len(p.Data) > MaxPartBytes {
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
	k := snapshotKey{it.Record.Writer, p.Snapshot}
	row := a.rowFor(k, it.Offset)
	if _, ok := row.parts[p.Index]; !ok {
		row.parts[p.Index] = p.Data
		row.bytes += len(p.Data)
		a.bytes += len(p.Data)
	}
	return a.complete(k, it.Record.ID)
}

func (a *Assembler) addEnd(it record.Item, e End) (Found, bool) {
	k := snapshotKey{it.Record.Writer, e.Snapshot}
	if row := a.rowFor(k, it.Offset); row.end == nil {
		row.end = &e
	}
	return a.complete(k, it.Record.ID)
}

// rowFor returns the row of k, extended to the offset, and makes room for it.
func (a *Assembler) rowFor(k snapshotKey, offset unit.Offset) *assembly {
	row := a.incomplete.Get(k)
	if row == nil {
		a.sequence++
		row = a.incomplete.Put(k, assembly{sequence: a.sequence, parts: make(map[int][]byte), firstOffset: offset, lastOffset: offset})
	}
	row.firstOffset, row.lastOffset = min(row.firstOffset, offset), max(row.lastOffset, offset)
	for a.incomplete.Len() > maxIncomplete || a.bytes > maxIncompleteBytes {
		a.dropOldest(k)
	}
	return a.incomplete.Get(k)
}

// dropOldest drops the snapshot that was begun first, other than keep. There is
// one, because a single snapshot stays within the limits.
func (a *Assembler) dropOldest(keep snapshotKey) {
	var oldest snapshotKey
	minSequence := ^uint64(0)
	for k, row := range a.incomplete.All() {
		if k != keep && row.sequence < minSequence {
			oldest, minSequence = k, row.sequence
		}
	}
	a.remove(oldest)
	a.Dropped++
}

func (a *Assembler) remove(k snapshotKey) {
	a.bytes -= a.incomplete.Get(k).bytes
	a.incomplete.Delete(k)
}

func (a *Assembler) complete(k snapshotKey, id record.ID) (Found, bool) {
	row := a.incomplete.Get(k)
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
	return Found{Contents: c, ID: id, From: row.firstOffset, To: row.lastOffset, Others: row.end.Others}, true
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
	return n.minOffset(last, last.From), true
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
	return n.minOffset(last, start), true
}

// minOffset returns the lowest of the offset and the references of f to scopes
// without a snapshot.
func (n *Newest) minOffset(f *Found, offset unit.Offset) unit.Offset {
	for _, r := range f.Others {
		if n.Get(r.Scope) == nil {
			offset = min(offset, r.From)
		}
	}
	return offset
}
