package table

import "iter"

// Table is a set of rows with unique keys. The zero value is empty and ready to
// use.
//
// The order of rows is unspecified, because a deletion moves the last row into
// the gap. A pointer to a row is valid until the row is deleted.
type Table[K comparable, V any] struct {
	keys  []K
	rows  []*V
	index map[K]int
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int { return len(t.rows) }

// Get returns the row of k, or nil if there is none.
func (t *Table[K, V]) Get(k K) *V {
	i, ok := t.index[k]
	if !ok {
		return nil
	}
	return t.rows[i]
}

// Put stores v as the row of k and returns the stored row. It replaces an
// existing row.
func (t *Table[K, V]) Put(k K, v V) *V {
	if i, ok := t.index[k]; ok {
		*t.rows[i] = v
		return t.rows[i]
	}
	if t.index == nil {
		t.index = make(map[K]int)
	}
	t.index[k] = len(t.rows)
	t.keys = append(t.keys, k)
	t.rows = append(t.rows, &v)
	return &v
}

// Ensure returns the row of k. It adds a zero row if there is none.
func (t *Table[K, V]) Ensure(k K) *V {
	if v := t.Get(k); v != nil {
		return v
	}
	var zero V
	return t.Put(k, zero)
}

// Delete removes the row of k and reports whether there was one.
func (t *Table[K, V]) Delete(k K) bool {
	i, ok := t.index[k]
	if !ok {
		return false
	}
	last := len(t.rows) - 1
	t.keys[i], t.rows[i] = t.keys[last], t.rows[last]
	t.index[t.keys[i]] = i
	delete(t.index, k)
	var zeroK K
	t.keys[last], t.rows[last] = zeroK, nil
	t.keys, t.rows = t.keys[:last], t.rows[:last]
	return true
}

// DeleteFunc removes all rows for which del returns true and returns the number
// of removed rows.
func (t *Table[K, V]) DeleteFunc(del func(K, *V) bool) int {
	n := 0
	for i := len(t.rows) - 1; i >= 0; i-- {
		if del(t.keys[i], t.rows[i]) {
			t.Delete(t.keys[i])
			n++
		}
	}
	return n
}

// All returns an iterator over the rows. The order is unspecified but the same
// for the same sequence of changes. The caller must not add or delete rows during
// the iteration.
func (t *Table[K, V]) All() iter.Seq2[K, *V] {
	return func(yield func(K, *V) bool) {
		for i := range t.rows {
			if !yield(t.keys[i], t.rows[i]) {
				return
			}
		}
	}
}
