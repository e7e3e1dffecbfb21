package tamarindworks

import (
	"github.com/cockroachdb/errors"
	"k8s.io/apimachinery/pkg/labels"
)

// Selector picks instances or jobs by label, in the syntax that operators
// know from Kubernetes ("tier=a,rack notin (r1,r2)"). The empty selector
// matches nothing here: a forgotten line must not take the whole fleet.
type Selector struct {
	text   string
	parsed labels.Selector
}

// ParseSelector reads a selector.
func ParseSelector(text string) (Selector, error) {
	parsed, err := labels.Parse(text)
	if err != nil {
		return Selector{}, errors.Newf("%q is not a label selector: %v", text, err)
	}
	return Selector{text: text, parsed: parsed}, nil
}

// UnmarshalText reads a selector.
func (s *Selector) UnmarshalText(text []byte) error {
	parsed, err := ParseSelector(string(text))
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}

// MarshalText writes the selector as it was read.
func (s Selector) MarshalText() ([]byte, error) { return []byte(s.text), nil }

// String is the selector as it was read.
func (s Selector) String() string { return s.text }

// IsEmpty tells whether the selector names nothing.
func (s Selector) IsEmpty() bool { return s.parsed == nil || s.parsed.Empty() }

// Matches tells whether the labels satisfy the selector.
func (s Selector) Matches(set map[string]string) bool {
	return !s.IsEmpty() && s.parsed.Matches(labels.Set(set))
}
