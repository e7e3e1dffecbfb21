package relay

import tw "github.com/tamarindworks/tamarindworks"

// specs holds the specs of the latest submissions, the oldest of which makes room.
type specs struct {
	texts map[tw.SubmissionID]string
	order []tw.SubmissionID
}

// mostSpecs bounds how many specs a relay keeps. A spec has 4,000 bytes at most.
const mostSpecs = 1000

func newSpecs() *specs { return &specs{texts: map[tw.SubmissionID]string{}} }

func (s *specs) has(id tw.SubmissionID) bool {
	_, known := s.texts[id]
	return known
}

func (s *specs) add(id tw.SubmissionID, text string) {
	if s.has(id) {
		return
	}
	if len(s.order) == mostSpecs {
		delete(s.texts, s.order[0])
		s.order = s.order[1:]
	}
	s.texts[id] = text
	s.order = append(s.order, id)
}

// forget makes no room, as the submission is soon added again.
func (s *specs) forget(id tw.SubmissionID) { delete(s.texts, id) }

func (s *specs) clear() { *s = *newSpecs() }
