package tamarindworks

// Wave configures the maintenance of every selected instance: each is drained,
// rebooted and returned to service once.
type Wave struct {
	ID        WaveID   `toml:"id"`
	Instances Selector `toml:"instances"`
	// MaxConcurrent is the maximum number of instances of a hall that are out for the
	// wave at the same time.
	MaxConcurrent int `toml:"at_once"`
}

// SetDefaults sets default values for unset fields.
func (w *Wave) SetDefaults() {
	if w.MaxConcurrent == 0 {
		w.MaxConcurrent = 1
	}
}

func (w *Wave) validate(path string, errs *ValidationErrors) {
	if w.ID == "" {
		errs.Add(path+".id", "is missing")
	}
	if w.Instances.IsEmpty() {
		errs.Add(path+".instances", "is missing: name the instances by label")
	}
	if w.MaxConcurrent < 1 {
		errs.Add(path+".at_once", "is %d, must be 1 or more", w.MaxConcurrent)
	}
}
