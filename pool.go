package tamarindworks

// Pool is a set of instances that carry the same jobs. Counts are per data
// hall, so that a hall that is cut off can decide alone.
type Pool struct {
	ID PoolID `toml:"id"`
	// Instances selects by label which instances may be in the pool.
	Instances Selector `toml:"instances"`
	// Jobs selects by label which jobs the pool carries.
	Jobs Selector `toml:"jobs"`
	// MinSize is the least number of instances in each hall; jobs may
	// need more.
	MinSize int `toml:"min_size"`
}

func (p *Pool) validate(at string, faults *ValidationErrors) {
	if p.ID == "" {
		faults.Add(at+".id", "is missing")
	}
	if p.ID == SparePool {
		faults.Add(at+".id", "%q is reserved", SparePool)
	}
	if p.Instances.IsEmpty() {
		faults.Add(at+".instances", "is missing: name the instances by label")
	}
	if p.Jobs.IsEmpty() {
		faults.Add(at+".jobs", "is missing: name the jobs by label")
	}
	if p.MinSize < 0 {
		faults.Add(at+".min_size", "is %d, must be 0 or more", p.MinSize)
	}
}
