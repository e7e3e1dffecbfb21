package relay

import tw "github.com/tamarindworks/tamarindworks"

// specCache caches the specs of submissions. It evicts the oldest entry when it is full.
type specCache struct {
	texts map[tw.SubmissionID]string
	order []tw.SubmissionID
}

// maxSpecs limits the number of specs in the cache. A spec has at most 4,000 bytes.
const maxSpecs = 1000

func newSpecCache() *specCache { return &specCache{texts: map[tw.SubmissionID]string{}} }

func (s *specCache) has(id tw.SubmissionID) bool {
	_, known := s.texts[id]
	return known
}

func (s *specCache) add(id tw.SubmissionID, text string) {
	if s.has(id) {
		return
	}
	if len(s.order) == maxSpecs {
		delete(s.texts, s.order[0])
		s.order = s.order[1:]
	}
	s.texts[id] = text
	s.order = append(s.order, id)
}

// remove removes a text but keeps its place in the order, as the submission is soon added again.
func (s *specCache) remove(id tw.SubmissionID) { delete(s.texts, id) }

func (s *specCache) clear() { *s = *newSpecCache() }
