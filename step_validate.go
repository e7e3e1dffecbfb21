package tamarindworks

import "fmt"

// validate checks the step at an index of its submission.
func (s *Step) validate(index int, errs *ValidationErrors) {
	path := fmt.Sprintf("steps[%d]", index)
	if s.Count < 1 || s.Count > MaxStepCount {
		errs.Add(path+".count", "is %d, must be between 1 and %d", s.Count, MaxStepCount)
	}
	if s.Need.CPU < 0 || s.Need.MemoryMB < 0 || s.Need.GPU < 0 {
		errs.Add(path+".need", "is negative")
	}
	if s.Estimate < 0 || s.TailTarget < 0 || s.MaxPerWorker < 0 || s.MaxDisrupted < 0 {
		errs.Add(path, "holds a negative number")
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			errs.Add(path+".after", "names step %d, must name earlier steps only", earlier)
		}
	}
}
