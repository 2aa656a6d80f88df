package snapshot

import (
	"errors"

	"mimosadock/schedule/record"
	"mimosadock/schedule/table"
	"mimosadock/schedule/unit"
)

var errChecksum = errors.New("snapshot: checksum is wrong")

// Limits of the incomplete snapshots. If one is exceeded, the assembler drops
// the oldest.
const (
	maxIncomplete      = 64
	maxIncompleteBytes = 2 * MaxBytes
)

// Snapshot is a complete snapshot and its position in the journal. FirstOffset
// and LastOffset are the lowest and the highest offset of its records that were
// read. ID is the id of the record that completed it. Others comes from its end
// record.
type Snapshot struct {
	Contents
	ID          record.ID
	FirstOffset unit.Offset
	LastOffset  unit.Offset
	Others      []Ref
}

// snapshotKey identifies an incomplete snapshot.
type snapshotKey struct {
	writer unit.Instance
	id     record.ID
}

// assembly is an incomplete snapshot.
type assembly struct {
	sequence                uint64 // position in the order of first records
	end                     *End
	parts                   map[int][]byte
	bytes                   int
	firstOffset, lastOffset unit.Offset
}

// Assembler assembles snapshots from their records. The records may arrive in
// any order and be interleaved with those of other snapshots. The zero value is
// ready to use.
type Assembler struct {
	Rejected uint64 // invalid parts and ends, and snapshots with a wrong checksum or contents
	Dropped  uint64 // incomplete snapshots dropped because of the limits

	incomplete table.Table[snapshotKey, assembly]
	sequence   uint64
	bytes      int
}

// Add adds a decoded record. If the record completes a snapshot, Add returns the
// snapshot and true. It ignores other kinds of records and records with a fault.
func (a *Assembler) Add(it record.DecodedRecord) (Snapshot, bool) {
	if it.Fault != record.NoFault {
		return Snapshot{}, false
	}
	switch it.Record.Kind {
	case record.SnapshotPart:
		p, err := record.Decode[Part](it.Record)
		if err != nil || p.Index < 0 || p.Index >= MaxParts || len(p.Data) > MaxPartBytes {
			a.Rejected++
			return Snapshot{}, false
		}
		return a.addPart(it, p)
	case record.SnapshotEnd:
		e, err := record.Decode[End](it.Record)
		if err != nil || e.Parts < 1 || e.Parts > MaxParts {
			a.Rejected++
			return Snapshot{}, false
		}
		return a.addEnd(it, e)
	}
	return Snapshot{}, false
}

func (a *Assembler) addPart(it record.DecodedRecord, p Part) (Snapshot, bool) {
	k := snapshotKey{it.Record.Writer, p.Snapshot}
	row := a.rowFor(k, it.Offset)
	if _, ok := row.parts[p.Index]; !ok {
		row.parts[p.Index] = p.Data
		row.bytes += len(p.Data)
		a.bytes += len(p.Data)
	}
	return a.complete(k, it.Record.ID)
}

func (a *Assembler) addEnd(it record.DecodedRecord, e End) (Snapshot, bool) {
	k := snapshotKey{it.Record.Writer, e.Snapshot}
	if row := a.rowFor(k, it.Offset); row.end == nil {
		row.end = &e
	}
	return a.complete(k, it.Record.ID)
}

// rowFor returns the row of k, which it adds if there is none, with its offsets
// extended to the given one. It drops other snapshots while a limit is exceeded.
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

// dropOldest drops the oldest incomplete snapshot other than keep. There is one,
// because a single snapshot never exceeds the limits.
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

// complete removes and returns the snapshot of k if its end and all its parts
// are present. It rejects a snapshot with wrong part numbers, checksum or
// contents.
func (a *Assembler) complete(k snapshotKey, id record.ID) (Snapshot, bool) {
	row := a.incomplete.Get(k)
	if row.end == nil || len(row.parts) < row.end.Parts {
		return Snapshot{}, false
	}
	defer a.remove(k)
	parts := make([][]byte, row.end.Parts)
	for i := range parts {
		data, ok := row.parts[i]
		if !ok {
			a.Rejected++
			return Snapshot{}, false
		}
		parts[i] = data
	}
	c, err := decode(*row.end, parts)
	if err != nil {
		a.Rejected++
		return Snapshot{}, false
	}
	return Snapshot{Contents: c, ID: id, FirstOffset: row.firstOffset, LastOffset: row.lastOffset, Others: row.end.Others}, true
}

// NewestByScope is a table of the newest snapshot of each scope. The zero value
// is empty.
type NewestByScope struct {
	table.Table[Scope, Snapshot]
}

// Offer stores s if it replaces the stored snapshot of its scope, and reports
// whether it did. A snapshot that isn't fresh always wins over a fresh one.
// Otherwise the snapshot with the higher At wins, then the one with the higher
// LastOffset.
func (n *NewestByScope) Offer(s Snapshot) bool {
	row := n.Get(s.Scope)
	if row != nil && row.Fresh == s.Fresh && (row.At > s.At || row.At == s.At && row.LastOffset >= s.LastOffset) {
		return false
	}
	if row != nil && !row.Fresh && s.Fresh {
		return false
	}
	n.Put(s.Scope, s)
	return true
}

// last returns the snapshot whose last record has the highest offset, or nil.
func (n *NewestByScope) last() *Snapshot {
	var last *Snapshot
	for _, s := range n.All() {
		if last == nil || s.LastOffset > last.LastOffset {
			last = s
		}
	}
	return last
}

// SearchFloor returns the lowest offset to which a reader must search backward
// to find the snapshots of all scopes. It returns false if no snapshot is known
// yet. The offset is zero while the only common snapshot is a fresh one,
// because another may lie further back.
func (n *NewestByScope) SearchFloor() (unit.Offset, bool) {
	last := n.last()
	if last == nil {
		return 0, false
	}
	if common := n.Get(Common); common != nil && common.Fresh {
		return 0, true
	}
	return n.minOffset(last, last.FirstOffset), true
}

// ReplayStart returns the offset of the first record that the snapshots of all
// scopes don't cover. It returns false if there is no common snapshot. The reader
// then needs the whole readable journal.
func (n *NewestByScope) ReplayStart() (unit.Offset, bool) {
	if n.Get(Common) == nil {
		return 0, false
	}
	last := n.last()
	start := last.At
	for _, s := range n.All() {
		start = min(start, s.At)
	}
	return n.minOffset(last, start), true
}

// minOffset returns the minimum of the offset and the offsets in s.Others of
// scopes that have no snapshot in n.
func (n *NewestByScope) minOffset(s *Snapshot, offset unit.Offset) unit.Offset {
	for _, r := range s.Others {
		if n.Get(r.Scope) == nil {
			offset = min(offset, r.From)
		}
	}
	return offset
}
