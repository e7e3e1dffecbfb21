package tamarindworks

import "slices"

// Job is a program that instances run and that requests are routed to.
type Job struct {
	ID      JobID             `toml:"id"`
	Service ServiceID         `toml:"service"`
	Labels  map[string]string `toml:"labels"`
	// Halls lists the halls that run the job; empty means all.
	Halls []HallID `toml:"halls"`
	// Replicas is the number of instances in each hall that run the job.
	Replicas int `toml:"replicas"`
	// Cores and Memory are the declared size of one replica. They are
	// initial estimates, which measured usage corrects.
	Cores  Cores     `toml:"cores"`
	Memory Megabytes `toml:"memory_mb"`
}

// SetDefaults sets default values for unset fields.
func (j *Job) SetDefaults() {
	if j.Replicas == 0 {
		j.Replicas = 1
	}
	if j.Cores == 0 {
		j.Cores = 1
	}
}

// In reports whether a hall runs the job.
func (j *Job) In(hall HallID) bool { return len(j.Halls) == 0 || slices.Contains(j.Halls, hall) }

func (j *Job) validate(path string, errs *ValidationErrors) {
	if j.ID == "" {
		errs.Add(path+".id", "is missing")
	}
	if j.Service == "" {
		errs.Add(path+".service", "is missing")
	}
	if j.Replicas < 0 {
		errs.Add(path+".replicas", "is %d, must be 1 or more", j.Replicas)
	}
	if j.Cores < 0 {
		errs.Add(path+".cores", "is %v, must be 0 or more", j.Cores)
	}
	if j.Memory < 0 {
		errs.Add(path+".memory_mb", "is %d, must be 0 or more", j.Memory)
	}
}
