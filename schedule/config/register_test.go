package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosadock/schedule/record"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// validText returns a services text without faults. Texts with different names
// differ.
func validText(name any) []byte {
	return fmt.Appendf(nil, "version: 1\n# %v\ncapacity: {cpu: 1000}\n", name)
}

// checkedChanges caches checked changes by name, because checking takes most of
// the test time.
var checkedChanges = map[string]CheckedChange{}

// checkedChange returns a checked change with the text of the given name.
func checkedChange(t interface{ Fatal(...any) }, base unit.Revision, name any) CheckedChange {
	key := fmt.Sprint(name)
	c, ok := checkedChanges[key]
	if !ok {
		var err error
		if c, err = NewChange(base, "morag", 1, validText(name)); err != nil {
			t.Fatal(err)
		}
		checkedChanges[key] = c
	}
	c.Base = base
	return c
}

// Guards against readers of one journal that get different results because they
// start at different offsets or from a snapshot. The reference applies all
// changes in order.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			id record.ID
			c  CheckedChange
		}
		var o record.IDSource
		var log []entry
		for i := range rapid.IntRange(0, 25).Draw(t, "changes") {
			c := checkedChange(t, unit.Revision(rapid.IntRange(0, 6).Draw(t, "base")), i)
			if rapid.IntRange(0, 4).Draw(t, "faulty") == 0 {
				c = Check(Change{Base: c.Base, Author: "morag", Packed: []byte{1}})
			}
			log = append(log, entry{o.NextID(), c})
		}
		var want []string // accepted texts
		for _, e := range log {
			if int(e.c.Base) == len(want) && e.c.Err == nil {
				want = append(want, string(e.c.Source))
			}
		}
		snapshotAt := rapid.IntRange(0, len(log)).Draw(t, "snapshot offset")
		var full, saving Register
		full.Attach(0)
		saving.Attach(0)
		for i, e := range log[:snapshotAt] {
			saving.Apply(unit.Offset(i), e.id, e.c)
		}
		saving.Advance(unit.Offset(snapshotAt))
		saved, err := saving.Save()
		if err != nil {
			t.Fatal(err)
		}
		data, err := record.Marshal(saved)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := DecodeSaved(unit.Offset(snapshotAt), data)
		if err != nil {
			t.Fatal(err)
		}
		var restored Register
		restored.Restore(decoded)
		from := rapid.IntRange(0, snapshotAt).Draw(t, "from") // some records are read again
		for i, e := range log {
			full.Apply(unit.Offset(i), e.id, e.c)
			if i >= from {
				restored.Apply(unit.Offset(i), e.id, e.c)
			}
		}
		for _, r := range []*Register{&full, &restored} {
			v := r.InForce()
			if int(v.Revision) != len(want) || len(want) > 0 && string(v.Source) != want[len(want)-1] || r.Committed().Hash != v.Hash {
				t.Fatalf("revision %d, want %d", v.Revision, len(want))
			}
			if history := r.History(); len(history) != len(want) {
				t.Fatalf("history of %d, want %d", len(history), len(want))
			}
		}
	})
}

// Guards against putting a peer's lower revision or a different text of the same
// revision into force, and against an adopted version that affects the
// compare-and-set.
func TestAdopt(t *testing.T) {
	version := func(r unit.Revision, name any) Version {
		v, err := CheckVersion(r, HashOf(validText(name)), validText(name))
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	tests := map[string]struct {
		peer    Version
		want    Adoption
		inForce unit.Revision // in force afterwards
	}{
		"lower":   {version(1, "old"), LowerRevision, 2},
		"same":    {version(2, "b"), SameVersion, 2},
		"differs": {version(2, "other"), Conflicting, 2},
		"higher":  {version(5, "e"), Adopted, 5},
		"corrupt": {Version{Revision: 6, Hash: 1, Source: validText("x"), Text: new(service.Text)}, Corrupt, 2},
		"no text": {Version{Revision: 6, Hash: HashOf(nil)}, Corrupt, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r Register
			r.Attach(0)
			r.Apply(0, record.ID{1}, checkedChange(t, 0, "a"))
			r.Apply(1, record.ID{2}, checkedChange(t, 1, "b"))
			is.Equal(r.Adopt(tc.peer, nil), tc.want)
			is.Equal(r.InForce().Revision, tc.inForce)
			is.Equal(r.Committed().Revision, unit.Revision(2))
			is.Equal(r.Diverged > 0, tc.want == Conflicting)
			is.Equal(r.Apply(2, record.ID{3}, checkedChange(t, 2, "c")).Result, Accepted)
			is.Equal(r.InForce().Revision, max(tc.inForce, 3))
		})
	}
}

// Guards against a fresh snapshot that restores different configurations in a
// reader that adopted the lost one and in a reader that starts later, and
// against one that replaces a newer configuration.
func TestApplyFreshSnapshot(t *testing.T) {
	is := is.New(t)
	var adopter, joiner, newer Register
	adopter.Adopt(Version{Revision: 4, Hash: HashOf(validText("d")), Source: validText("d"), Text: new(service.Text)}, nil)
	saved, err := adopter.Save()
	is.NoErr(err)
	is.True(saved.Fresh)
	data, err := record.Marshal(saved)
	is.NoErr(err)
	fresh, err := DecodeSaved(10, data)
	is.NoErr(err)
	is.True(!joiner.Restore(fresh)) // a fresh snapshot takes effect only in ApplySnapshot
	for _, r := range []*Register{&adopter, &joiner} {
		is.Equal(r.Apply(11, record.ID{1}, checkedChange(t, 4, "lost")).Result, Undecided)
		is.True(!r.ApplySnapshot(12, fresh))
		is.Equal(r.Apply(13, record.ID{2}, checkedChange(t, 4, "e")).Result, Accepted)
		is.True(!r.Behind())
	}
	is.Equal(adopter.Committed(), joiner.Committed())
	newer.Attach(0)
	for i := range 5 {
		newer.Apply(unit.Offset(i), record.ID{byte(i)}, checkedChange(t, unit.Revision(i), i))
	}
	newer.ApplySnapshot(12, fresh)
	is.Equal(newer.Committed().Revision, unit.Revision(5))
	var detached Register // needs to read again from the position of the snapshot
	is.True(detached.ApplySnapshot(12, Restoration{At: 5}) && !detached.IsAttached())
}

// Guards against a refused change whose outcome lacks the committed version, and
// against faulty or oversized texts that are accepted.
func TestOutcomes(t *testing.T) {
	is := is.New(t)
	var r Register
	is.Equal(r.Apply(0, record.ID{}, checkedChange(t, 0, "a")).Result, Undecided) // the register is detached
	r.Attach(0)
	is.Equal(r.Apply(0, record.ID{1}, checkedChange(t, 0, "a")).Result, Accepted)
	o := r.Apply(1, record.ID{2}, checkedChange(t, 0, "b"))
	is.Equal(o.Result, Stale)
	is.Equal(o.Version.Revision, unit.Revision(1))
	is.True(strings.Contains(o.Difference(), "-# a\n+# b\n"))
	is.Equal(r.Apply(2, record.ID{3}, Check(Change{Base: 1, Author: "x"})).Result, Faulty)
	var faults service.Faults
	_, err := NewChange(1, "morag", 1, []byte("version: 2\n"))
	is.True(errors.As(err, &faults))
	_, err = NewChange(1, "", 1, validText("a"))
	is.True(err != nil) // no author
	packed, err := Pack(make([]byte, service.MaxTextBytes+1))
	is.NoErr(err)
	_, err = Unpack(packed)
	is.True(err != nil) // inflates beyond the limit
}

// Guards against a process that serves with an outdated configuration after a
// restart, or that never becomes ready while the journal is down.
func TestReadiness(t *testing.T) {
	tests := map[string]struct {
		steps func(*Readiness)
		want  bool
	}{
		"nothing known":         {func(*Readiness) {}, false},
		"read to the end":       {func(r *Readiness) { r.SetJournalRead() }, true},
		"only unreachable":      {func(r *Readiness) { r.SetJournalUnreachable() }, false},
		"local member":          {func(r *Readiness) { r.SetJournalUnreachable(); r.RecordRevision(3, true) }, true},
		"no local member":       {func(r *Readiness) { r.SetJournalUnreachable(); r.RecordRevision(3, false) }, false},
		"higher revision":       {func(r *Readiness) { r.SetJournalUnreachable(); r.RecordRevision(3, true); r.RecordRevision(4, false) }, false},
		"journal not tried":     {func(r *Readiness) { r.RecordRevision(3, true) }, false},
		"stays ready":           {func(r *Readiness) { r.SetJournalRead(); r.Ready(3); r.RecordRevision(9, true) }, true},
		"read, higher reported": {func(r *Readiness) { r.RecordRevision(9, true); r.SetJournalRead() }, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r Readiness
			tc.steps(&r)
			is.Equal(r.Ready(3), tc.want)
		})
	}
}

// Guards against decoders of changes and snapshots that panic or accept a text
// without checking it.
func FuzzDecodeSaved(f *testing.F) {
	var r Register
	r.Attach(0)
	r.Apply(0, record.ID{1}, checkedChange(f, 0, "a"))
	saved, _ := r.Save()
	data, _ := record.Marshal(saved)
	change, _ := record.Marshal(checkedChange(f, 0, "a").Change)
	f.Add(data)
	f.Add(change)
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if decoded, err := DecodeSaved(1, data); err == nil && decoded.Version.Revision > 0 && decoded.Version.Text == nil {
			t.Fatal("version without a checked text")
		}
		if c, err := record.Unmarshal[Change](data); err == nil {
			if got := Check(c); got.Err == nil && got.Text == nil {
				t.Fatal("change without a checked text")
			}
		}
	})
}
