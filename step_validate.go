package tamarindworks

import "fmt"

// validate checks a step that stands at place index.
func (s *Step) validate(index int, faults *ValidationErrors) {
	at := fmt.Sprintf("steps[%d]", index)
	if s.Count < 1 || s.Count > MaxStepCount {
		faults.Add(at+".count", "is %d, must be between 1 and %d", s.Count, MaxStepCount)
	}
	if s.Need.CPU < 0 || s.Need.MemoryMB < 0 || s.Need.GPU < 0 {
		faults.Add(at+".need", "is negative")
	}
	if s.Estimate < 0 || s.TailTarget < 0 || s.MaxPerWorker < 0 || s.MaxDisrupted < 0 {
		faults.Add(at, "holds a negative number")
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			faults.Add(at+".after", "names step %d, must name earlier steps only", earlier)
		}
	}
}
