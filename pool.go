package tamarindworks

// Pool is a set of instances that run the same jobs. Counts are per data
// hall, so that a partitioned hall can decide on its own.
type Pool struct {
	ID PoolID `toml:"id"`
	// Instances selects by label the instances that may be in the pool.
	Instances Selector `toml:"instances"`
	// Jobs selects by label the jobs that the pool runs.
	Jobs Selector `toml:"jobs"`
	// MinSize is the minimum number of instances in each hall; jobs may
	// require more.
	MinSize int `toml:"min_size"`
}

func (p *Pool) validate(path string, errs *ValidationErrors) {
	if p.ID == "" {
		errs.Add(path+".id", "is missing")
	}
	if p.ID == SparePool {
		errs.Add(path+".id", "%q is reserved", SparePool)
	}
	if p.Instances.IsEmpty() {
		errs.Add(path+".instances", "is missing: name the instances by label")
	}
	if p.Jobs.IsEmpty() {
		errs.Add(path+".jobs", "is missing: name the jobs by label")
	}
	if p.MinSize < 0 {
		errs.Add(path+".min_size", "is %d, must be 0 or more", p.MinSize)
	}
}
