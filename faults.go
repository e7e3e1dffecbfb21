package tamarindworks

import (
	"fmt"
	"strings"
)

type (
	// Fault is one thing wrong with a configuration.
	Fault struct {
		Field string // path such as "pools[2].instances"
		Line  int    // line in the source, 0 if unknown
		What  string
	}

	// Faults gathers every fault, so that an operator sees all of them at once.
	Faults []Fault
)

// Add notes a fault of a field; format and args are as for fmt.Sprintf.
func (f *Faults) Add(field, format string, args ...any) {
	*f = append(*f, Fault{Field: field, What: fmt.Sprintf(format, args...)})
}

// Error lists all faults, one a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err is nil if there are no faults.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// String is "line 3: pools[0].id: what is wrong".
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Field, f.What)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.What)
}
