package tamarindworks

// Service is a set of routes with a common availability budget.
type Service struct {
	ID ServiceID `toml:"id"`
	// MaxUnavailable limits planned work, which makes a replica unavailable only
	// if at most this many replicas of the service, across all halls, are then
	// unavailable. Unplanned losses are counted too, but are not limited.
	MaxUnavailable int     `toml:"max_unavailable"`
	Routes         []Route `toml:"routes"`
}

// SetDefaults sets default values for unset fields.
func (s *Service) SetDefaults() {
	if s.MaxUnavailable == 0 {
		s.MaxUnavailable = 1
	}
	for i := range s.Routes {
		s.Routes[i].SetDefaults()
	}
}

func (s *Service) validate(path string, errs *ValidationErrors) {
	if s.ID == "" {
		errs.Add(path+".id", "is missing")
	}
	if s.MaxUnavailable < 0 {
		errs.Add(path+".max_unavailable", "is %d, must be 1 or more", s.MaxUnavailable)
	}
}
