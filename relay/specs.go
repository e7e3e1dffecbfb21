package relay

import tw "github.com/tamarindworks/tamarindworks"

// specCache holds the specCache of the latest submissions, the oldest of which makes room.
type specCache struct {
	texts map[tw.SubmissionID]string
	order []tw.SubmissionID
}

// maxSpecs bounds how many specs a relay keeps. A spec has 4,000 bytes at most.
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

// remove makes no room, as the submission is soon added again.
func (s *specCache) remove(id tw.SubmissionID) { delete(s.texts, id) }

func (s *specCache) clear() { *s = *newSpecCache() }
