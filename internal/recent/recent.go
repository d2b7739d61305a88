// Package recent provides a bounded set of strings that forgets the oldest first. The strings that it is asked about
// may always be new, so a plain map would grow for as long as a process runs.
package recent

// Set holds the most recently added strings, up to its size. It is not safe for concurrent use.
type Set struct {
	size  int
	ids   map[string]struct{}
	order []string // a ring buffer once it is full
	next  int
}

// New returns a set of at most size strings. size must be above 0.
func New(size int) *Set { return &Set{size: size, ids: map[string]struct{}{}} }

// Add adds an id. An id that is already held keeps its age. A full set forgets the id that was added first.
func (s *Set) Add(id string) {
	if s.Has(id) {
		return
	}
	s.ids[id] = struct{}{}
	if len(s.order) < s.size {
		s.order = append(s.order, id)
		return
	}
	delete(s.ids, s.order[s.next])
	s.order[s.next] = id
	s.next = (s.next + 1) % s.size
}

// Has reports whether an id is held.
func (s *Set) Has(id string) bool {
	_, held := s.ids[id]
	return held
}

// All returns the ids that are held, oldest first.
func (s *Set) All() []string {
	return append(append(make([]string, 0, len(s.order)), s.order[s.next:]...), s.order[:s.next]...)
}
