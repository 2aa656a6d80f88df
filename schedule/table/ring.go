package table

// Ring is a ring buffer of the most recently added values. The zero value has a
// capacity of [DefaultRingCapacity].
type Ring[V any] struct {
	buf  []V
	next int
	size int
}

// DefaultRingCapacity is the capacity of a zero [Ring].
const DefaultRingCapacity = 64

// Resize sets the capacity and drops all values. It panics if n is not
// positive.
func (r *Ring[V]) Resize(n int) {
	if n <= 0 {
		panic("table: ring capacity is not positive")
	}
	*r = Ring[V]{buf: make([]V, n)}
}

// Add adds v. It replaces the oldest value if the ring is full.
func (r *Ring[V]) Add(v V) {
	if r.buf == nil {
		r.Resize(DefaultRingCapacity)
	}
	r.buf[r.next] = v
	r.next = (r.next + 1) % len(r.buf)
	r.size = min(r.size+1, len(r.buf))
}

// Len returns the number of values in the ring.
func (r *Ring[V]) Len() int { return r.size }

// AppendTo appends the values to dst, oldest first, and returns it.
func (r *Ring[V]) AppendTo(dst []V) []V {
	for i := range r.size {
		dst = append(dst, r.buf[(r.next-r.size+i+len(r.buf))%len(r.buf)])
	}
	return dst
}
