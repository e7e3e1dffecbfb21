package tamarindworks

// Spares says how much capacity a hall holds back for losses.
type Spares struct {
	// Racks is how many whole racks a hall may lose at a time without a
	// pool falling short. 1 unless said otherwise.
	Racks *int `toml:"racks"`
	// MaxMoves bounds the instances of a hall that planned work moves at
	// the same time.
	MaxMoves int `toml:"max_moves"`
}

const defaultMaxMoves = 4

// SetDefaults fills what was left out.
func (s *Spares) SetDefaults() {
	if s.Racks == nil {
		one := 1
		s.Racks = &one
	}
	if s.MaxMoves == 0 {
		s.MaxMoves = defaultMaxMoves
	}
}

func (s *Spares) validate(at string, faults *ValidationErrors) {
	if s.Racks != nil && *s.Racks < 0 {
		faults.Add(at+".racks", "is %d, must be 0 or more", *s.Racks)
	}
	if s.MaxMoves < 0 {
		faults.Add(at+".max_moves", "is %d, must be 1 or more", s.MaxMoves)
	}
}
