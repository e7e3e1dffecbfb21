package tamarindworks

// Spares configures the capacity that a hall reserves for losses.
type Spares struct {
	// Racks is the number of whole racks that a hall may lose at the same
	// time without a pool running short of instances. The default is 1.
	Racks *int `toml:"racks"`
	// MaxMoves is the maximum number of instances of a hall that planned work
	// moves at the same time.
	MaxMoves int `toml:"max_moves"`
}

const defaultMaxMoves = 4 // instances

// SetDefaults sets default values for unset fields.
func (s *Spares) SetDefaults() {
	if s.Racks == nil {
		one := 1
		s.Racks = &one
	}
	if s.MaxMoves == 0 {
		s.MaxMoves = defaultMaxMoves
	}
}

func (s *Spares) validate(path string, errs *ValidationErrors) {
	if s.Racks != nil && *s.Racks < 0 {
		errs.Add(path+".racks", "is %d, must be 0 or more", *s.Racks)
	}
	if s.MaxMoves < 0 {
		errs.Add(path+".max_moves", "is %d, must be 1 or more", s.MaxMoves)
	}
}
