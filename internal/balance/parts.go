package balance

import "container/list"

// partLimit bounds the prompt parts remembered of one server. Engines so far hold 70,000 to 340,000 tokens, and
// parts have some 300.
const partLimit = 1024

// partSet remembers the parts that a server has read, forgetting those first that were used longest ago, as
// engines do. Forgetting those first that were read first loses the shared parts, and turns leave the servers that
// hold them: under a burst of four times the usual load worth falls by 0.018 (mean of eight paired seeds).
type partSet struct {
	byID  map[string]*list.Element
	order *list.List // of part ids, the one used last in front
}

func newPartSet() *partSet { return &partSet{byID: map[string]*list.Element{}, order: list.New()} }

// read notes that a server reads a prompt's parts.
func (s *state) read(parts []string) {
	for _, part := range parts {
		if e := s.parts.byID[part]; e != nil {
			s.parts.order.MoveToFront(e)
			continue
		}
		s.parts.byID[part] = s.parts.order.PushFront(part)
	}
	for s.parts.order.Len() > partLimit {
		last := s.parts.order.Back()
		delete(s.parts.byID, last.Value.(string))
		s.parts.order.Remove(last)
	}
}

// cached returns how many tokens at the start of a prompt the server has read before.
func (s *state) cached(parts []string, sizes []int64) int64 {
	var tokens int64
	for i, part := range parts {
		if _, known := s.parts.byID[part]; !known {
			return tokens
		}
		tokens += sizes[i]
	}
	return tokens
}
