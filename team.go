package tamarindworks

// Team is a group of callers with a quota.
type Team struct {
	ID TeamID `toml:"id"`
	// Weight is the team's part of a contended queue relative to others.
	Weight int `toml:"weight"`
	// MaxInFlight bounds the team's requests in one entry daemon; 0 means
	// no bound.
	MaxInFlight int `toml:"max_in_flight"`
}

// SetDefaults fills what was left out.
func (t *Team) SetDefaults() {
	if t.Weight == 0 {
		t.Weight = 1
	}
}

func (t *Team) validate(at string, faults *ValidationErrors) {
	if t.ID == "" {
		faults.Add(at+".id", "is missing")
	}
	if t.Weight < 1 {
		faults.Add(at+".weight", "is %d, must be 1 or more", t.Weight)
	}
	if t.MaxInFlight < 0 {
		faults.Add(at+".max_in_flight", "is %d, must be 0 or more", t.MaxInFlight)
	}
}
