package tamarindworks

// Service is a set of routes with a common availability budget.
type Service struct {
	ID ServiceID `toml:"id"`
	// MaxUnavailable is the maximum number of replicas of the service, across
	// all halls, that may be unavailable because of planned work. Unplanned
	// losses count towards it too.
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
