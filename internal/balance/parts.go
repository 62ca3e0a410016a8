package balance

// partLimit bounds the prompt parts remembered of one server: a few shared prompts and the newest private
// ones.
const partLimit = 256

// partSet remembers the parts that a server has read, forgetting the oldest first.
type partSet struct {
	known map[string]struct{}
	order []string
}

func newPartSet() *partSet { return &partSet{known: map[string]struct{}{}} }

// read notes that a server reads a prompt's parts.
func (s *state) read(parts []string) {
	for _, part := range parts {
		if _, known := s.parts.known[part]; known {
			continue
		}
		s.parts.known[part] = struct{}{}
		s.parts.order = append(s.parts.order, part)
	}
	for len(s.parts.order) > partLimit {
		delete(s.parts.known, s.parts.order[0])
		s.parts.order = s.parts.order[1:]
	}
}

// cached returns how many tokens at the start of a prompt the server has read before.
func (s *state) cached(parts []string, sizes []int64) int64 {
	var tokens int64
	for i, part := range parts {
		if _, known := s.parts.known[part]; !known {
			return tokens
		}
		tokens += sizes[i]
	}
	return tokens
}
