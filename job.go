package tamarindworks

import "slices"

// Job is what instances carry and requests ask for.
type Job struct {
	ID      JobID             `toml:"id"`
	Service ServiceID         `toml:"service"`
	Labels  map[string]string `toml:"labels"`
	// Halls that carry the job; empty means all.
	Halls []HallID `toml:"halls"`
	// Replicas is how many instances of each hall carry the job.
	Replicas int `toml:"replicas"`
	// Cores and Memory are the declared size of one replica. They are a
	// first guess only; measured use corrects them.
	Cores  Cores     `toml:"cores"`
	Memory Megabytes `toml:"memory_mb"`
}

// SetDefaults fills what was left out.
func (j *Job) SetDefaults() {
	if j.Replicas == 0 {
		j.Replicas = 1
	}
	if j.Cores == 0 {
		j.Cores = 1
	}
}

// In tells whether a hall carries the job.
func (j *Job) In(hall HallID) bool { return len(j.Halls) == 0 || slices.Contains(j.Halls, hall) }

func (j *Job) validate(at string, faults *ValidationErrors) {
	if j.ID == "" {
		faults.Add(at+".id", "is missing")
	}
	if j.Service == "" {
		faults.Add(at+".service", "is missing")
	}
	if j.Replicas < 0 {
		faults.Add(at+".replicas", "is %d, must be 1 or more", j.Replicas)
	}
	if j.Cores < 0 {
		faults.Add(at+".cores", "is %v, must be 0 or more", j.Cores)
	}
	if j.Memory < 0 {
		faults.Add(at+".memory_mb", "is %d, must be 0 or more", j.Memory)
	}
}
