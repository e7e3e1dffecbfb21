package tamarindworks

// Wave asks for the maintenance of every instance that its selector names,
// each once: drained, rebooted, taken back.
type Wave struct {
	ID        WaveID   `toml:"id"`
	Instances Selector `toml:"instances"`
	// MaxConcurrent bounds how many instances of a hall are out for the wave at
	// the same time.
	MaxConcurrent int `toml:"at_once"`
}

// SetDefaults fills what was left out.
func (w *Wave) SetDefaults() {
	if w.MaxConcurrent == 0 {
		w.MaxConcurrent = 1
	}
}

func (w *Wave) validate(at string, faults *ValidationErrors) {
	if w.ID == "" {
		faults.Add(at+".id", "is missing")
	}
	if w.Instances.IsEmpty() {
		faults.Add(at+".instances", "is missing: name the instances by label")
	}
	if w.MaxConcurrent < 1 {
		faults.Add(at+".at_once", "is %d, must be 1 or more", w.MaxConcurrent)
	}
}
