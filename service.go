package tamarindworks

// Service is a set of routes under one availability budget.
type Service struct {
	ID ServiceID `toml:"id"`
	// MaxUnavailable bounds how many replicas of the service, counted over
	// all halls, may be unavailable because of planned work. Unplanned
	// losses use it up too.
	MaxUnavailable int     `toml:"max_unavailable"`
	Routes         []Route `toml:"routes"`
}

// SetDefaults fills what was left out.
func (s *Service) SetDefaults() {
	if s.MaxUnavailable == 0 {
		s.MaxUnavailable = 1
	}
	for i := range s.Routes {
		s.Routes[i].SetDefaults()
	}
}

func (s *Service) validate(at string, faults *ValidationErrors) {
	if s.ID == "" {
		faults.Add(at+".id", "is missing")
	}
	if s.MaxUnavailable < 0 {
		faults.Add(at+".max_unavailable", "is %d, must be 1 or more", s.MaxUnavailable)
	}
}
