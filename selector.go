package tamarindworks

import (
	"github.com/cockroachdb/errors"
	"k8s.io/apimachinery/pkg/labels"
)

// Selector selects instances or jobs by label, in the syntax of Kubernetes
// label selectors ("tier=a,rack notin (r1,r2)"). Unlike in Kubernetes, the
// empty selector matches nothing, so that a missing line in the configuration
// does not select the whole fleet.
type Selector struct {
	text   string
	parsed labels.Selector
}

// ParseSelector parses a selector.
func ParseSelector(text string) (Selector, error) {
	parsed, err := labels.Parse(text)
	if err != nil {
		return Selector{}, errors.Newf("%q is not a label selector: %v", text, err)
	}
	return Selector{text: text, parsed: parsed}, nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Selector) UnmarshalText(text []byte) error {
	parsed, err := ParseSelector(string(text))
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}

// MarshalText returns the text that the selector was parsed from.
func (s Selector) MarshalText() ([]byte, error) { return []byte(s.text), nil }

// String returns the text that the selector was parsed from.
func (s Selector) String() string { return s.text }

// IsEmpty reports whether the selector has no requirements.
func (s Selector) IsEmpty() bool { return s.parsed == nil || s.parsed.Empty() }

// Matches reports whether the labels satisfy the selector.
func (s Selector) Matches(set map[string]string) bool {
	return !s.IsEmpty() && s.parsed.Matches(labels.Set(set))
}
