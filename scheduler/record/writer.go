package record

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// Limits bound what the store accepts. A limit of zero stands for its default.
type Limits struct {
	Record  unit.Bytes // key and value of one record
	Request unit.Bytes // all records of one append
}

// Limits of a store whose settings name none.
const (
	defaultRecordLimit  unit.Bytes = 256 << 10
	defaultRequestLimit unit.Bytes = 2 << 20
)

// recordOverhead is what the encoding adds to the key and the value of a record.
const recordOverhead = 5

// WithDefaults returns l with the defaults in place of zeros.
func (l Limits) WithDefaults() Limits {
	if l.Record <= 0 {
		l.Record = defaultRecordLimit
	}
	if l.Request <= 0 {
		l.Request = defaultRequestLimit
	}
	return l
}

const (
	// maxTaskBytes is the size of the record of a task without its checkpoint.
	maxTaskBytes = 16
	// maxOtherBytes is the size of the records of a job without its tasks: the
	// executors that its tasks name, its queue and its times.
	maxOtherBytes unit.Bytes = 256 << 10
)

// ErrTooLarge reports that the records of a job don't fit into one append.
var ErrTooLarge = errors.New("job is too large to be stored")

// CheckSize returns [ErrTooLarge] if the records of a job might not fit into one
// append in some state of the job. body is the size of the submission, which bounds
// that of the spec.
func (l Limits) CheckSize(s *dispatch.Spec, body int) error {
	limit := l.WithDefaults().Request
	if size := unit.Bytes(s.TotalTasks())*maxTaskBytes + unit.Bytes(body) + maxOtherBytes; size > limit {
		return fmt.Errorf("%w: its %d tasks take up to %d bytes, at most %d are stored in one append", ErrTooLarge, s.TotalTasks(), size, limit)
	}
	return nil
}

// Group holds records that are stored together or not at all.
type Group struct {
	Job      unit.Job // empty if the records are not those of a job
	Records  []dispatch.Record
	Optional bool // the shard can go on without the records
}

// OwnershipProof returns a group that changes nothing: it deletes a key that has no
// value. The store refuses the append of a former owner. An append without any record
// might not use up its sequence number.
func OwnershipProof() Group { return Group{Records: []dispatch.Record{{Key: proofKey}}} }

// size returns what the group takes of an append.
func (g *Group) size() unit.Bytes {
	var size unit.Bytes
	for _, r := range g.Records {
		size += unit.Bytes(recordOverhead + len(r.Key) + len(r.Value))
	}
	return size
}

// Batches distributes groups over appends that the store accepts, in order. A group
// that is larger than an append has one of its own.
func (l Limits) Batches(groups []Group) [][]Group {
	limit := l.WithDefaults().Request
	var batches [][]Group
	first, size := 0, unit.Bytes(0)
	for i := range groups {
		n := groups[i].size()
		if i > first && size+n > limit {
			batches = append(batches, groups[first:i])
			first, size = i, 0
		}
		size += n
	}
	if first < len(groups) {
		batches = append(batches, groups[first:])
	}
	return batches
}

// Fits reports whether a group is not larger than an append.
func (l Limits) Fits(g *Group) bool { return g.size() <= l.WithDefaults().Request }

// partPrefix is the prefix of the keys of the parts of a value that is larger than
// a record. The key of the value, a slash and the number of the part follow.
const partPrefix = "p/"

// partsTag is the CBOR tag of a manifest, the record that a value in parts has under
// its own key. It contains the number of parts. No other value begins with a tag.
const partsTag = 27500

func partKey(key string, n int) string { return partPrefix + key + "/" + strconv.Itoa(n) }

// Writer encodes the changes of one shard within the limits of the store. It keeps
// the number of parts that are stored of each value.
type Writer struct {
	Limits Limits

	parts map[string]int
}

// NewWriter returns a writer that continues after the records of set.
func NewWriter(l Limits, set *Set) *Writer {
	w := &Writer{Limits: l.WithDefaults(), parts: make(map[string]int)}
	for key, parts := range set.parts {
		for n := range parts {
			w.parts[key] = max(w.parts[key], n+1)
		}
	}
	return w
}

// Encode returns the records of a change. If they don't fit into an append, it
// leaves out the checkpoints, without which a task starts over after a takeover.
func (w *Writer) Encode(c *dispatch.Change) (Group, error) {
	g := Group{Job: c.ID}
	records, err := encode(c, true)
	if err != nil {
		return g, err
	}
	if g.Records = records; c.Job != nil && !w.Limits.Fits(&g) {
		if records, err = encode(c, false); err != nil {
			return g, err
		}
	}
	g.Records, err = w.split(records)
	return g, err
}

// EncodeInterferenceModels returns the record of the interference models of a
// shard, by serving image.
func (w *Writer) EncodeInterferenceModels(models map[unit.Image]*dispatch.InterferenceModel) (Group, error) {
	records, err := EncodeInterferenceModels(nil, models)
	if err != nil {
		return Group{}, err
	}
	records, err = w.split(records)
	return Group{Records: records, Optional: true}, err
}

// split replaces each record that is larger than the limit by its parts, and adds
// the deletion of parts that are not needed any more.
func (w *Writer) split(records []dispatch.Record) ([]dispatch.Record, error) {
	out := make([]dispatch.Record, 0, len(records))
	for _, r := range records {
		n := 0
		if unit.Bytes(recordOverhead+len(r.Key)+len(r.Value)) > w.Limits.Record {
			size := int(w.Limits.Record) - recordOverhead - len(partKey(r.Key, len(r.Value)))
			for rest := r.Value; len(rest) > 0; n++ {
				k := min(size, len(rest))
				out = append(out, dispatch.Record{Key: partKey(r.Key, n), Value: rest[:k]})
				rest = rest[k:]
			}
			b, err := cbor.Marshal(cbor.Tag{Number: partsTag, Content: n})
			if err != nil {
				return nil, fmt.Errorf("parts of %s: %w", r.Key, err)
			}
			r.Value = b
		}
		out = append(out, r)
		for stale := n; stale < w.parts[r.Key]; stale++ {
			out = append(out, dispatch.Record{Key: partKey(r.Key, stale)})
		}
		switch {
		case n == 0:
			delete(w.parts, r.Key)
		case w.parts == nil:
			w.parts = map[string]int{r.Key: n}
		default:
			w.parts[r.Key] = n
		}
	}
	return out, nil
}

// addPart adds the record of a part and reports whether r is one.
func (s *Set) addPart(r dispatch.Record) bool {
	rest, ok := strings.CutPrefix(r.Key, partPrefix)
	if !ok {
		return false
	}
	slash := strings.LastIndexByte(rest, '/')
	n, err := strconv.Atoi(rest[slash+1:])
	if slash < 0 || err != nil || n < 0 {
		return false
	}
	if s.parts == nil {
		s.parts = make(map[string]map[int][]byte)
	}
	key := rest[:slash]
	if s.parts[key] == nil {
		s.parts[key] = make(map[int][]byte)
	}
	s.parts[key][n] = r.Value
	return true
}

// addManifest adds the manifest of a value in parts and reports whether r is one.
func (s *Set) addManifest(r dispatch.Record) bool {
	var tag cbor.RawTag
	var n int
	if r.Value[0]>>5 != 6 || cbor.Unmarshal(r.Value, &tag) != nil || tag.Number != partsTag || cbor.Unmarshal(tag.Content, &n) != nil {
		return false
	}
	if s.manifests == nil {
		s.manifests = make(map[string]int)
	}
	s.manifests[r.Key] = n
	return true
}

// Join adds the values that were stored in parts, after all records were added. It
// returns an error for a value of which a part is missing or that can't be decoded.
func (s *Set) Join() error {
	var errs error
	for key, n := range s.manifests {
		var value []byte
		for i := range n {
			part, ok := s.parts[key][i]
			if !ok {
				errs = errors.Join(errs, fmt.Errorf("record %s: part %d of %d is missing", key, i, n))
				break
			}
			value = append(value, part...)
		}
		errs = errors.Join(errs, s.Add(dispatch.Record{Key: key, Value: value}))
	}
	s.manifests = nil
	return errs
}
