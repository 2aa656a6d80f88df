package table

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against an index that points to the wrong row after a deletion.
func TestTableMatchesMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tab Table[int, int]
		ref := map[int]int{}
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			k := rapid.IntRange(0, 9).Draw(t, "key")
			switch rapid.IntRange(0, 2).Draw(t, "op") {
			case 0:
				v := rapid.Int().Draw(t, "value")
				tab.Put(k, v)
				ref[k] = v
			case 1:
				_, had := ref[k]
				if tab.Delete(k) != had {
					t.Fatal("Delete disagrees with the reference")
				}
				delete(ref, k)
			case 2:
				tab.DeleteFunc(func(key int, _ *int) bool { return key%3 == k%3 })
				for key := range ref {
					if key%3 == k%3 {
						delete(ref, key)
					}
				}
			}
		}
		if tab.Len() != len(ref) {
			t.Fatalf("length %d, want %d", tab.Len(), len(ref))
		}
		for k, v := range tab.All() {
			if ref[k] != *v || tab.Get(k) != v {
				t.Fatalf("row %d: got %d, want %d", k, *v, ref[k])
			}
		}
	})
}

// Guards against values that are returned out of order after the ring wraps
// around.
func TestRingOrder(t *testing.T) {
	tests := map[string]struct {
		add  int
		want []int
	}{
		"empty":   {add: 0, want: nil},
		"partial": {add: 2, want: []int{0, 1}},
		"wrapped": {add: 5, want: []int{2, 3, 4}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var r Ring[int]
			r.Resize(3)
			for i := range tc.add {
				r.Add(i)
			}
			is.Equal(r.AppendTo(nil), tc.want)
		})
	}
}
