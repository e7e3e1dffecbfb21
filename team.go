package tamarindworks

// Team is a group of callers with a quota.
type Team struct {
	ID TeamID `toml:"id"`
	// Weight is the team's share of a contended queue relative to other teams.
	Weight int `toml:"weight"`
	// MaxInFlight limits the team's requests in flight in one entry daemon; 0
	// means no limit.
	MaxInFlight int `toml:"max_in_flight"`
}

// SetDefaults sets default values for unset fields.
func (t *Team) SetDefaults() {
	if t.Weight == 0 {
		t.Weight = 1
	}
}

func (t *Team) validate(path string, errs *ValidationErrors) {
	if t.ID == "" {
		errs.Add(path+".id", "is missing")
	}
	if t.Weight < 1 {
		errs.Add(path+".weight", "is %d, must be 1 or more", t.Weight)
	}
	if t.MaxInFlight < 0 {
		errs.Add(path+".max_in_flight", "is %d, must be 0 or more", t.MaxInFlight)
	}
}
