package tamarindworks

import (
	"fmt"
	"strings"
)

type (
	// ValidationError is one thing wrong with a configuration.
	ValidationError struct {
		Field   string // path such as "pools[2].instances"
		Line    int    // line in the source, 0 if unknown
		Message string
	}

	// ValidationErrors gathers every fault, so that an operator sees all of them at once.
	ValidationErrors []ValidationError
)

// Add notes a fault of a field; format and args are as for fmt.Sprintf.
func (f *ValidationErrors) Add(field, format string, args ...any) {
	*f = append(*f, ValidationError{Field: field, Message: fmt.Sprintf(format, args...)})
}

// Error lists all faults, one a line.
func (f ValidationErrors) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Err is nil if there are no faults.
func (f ValidationErrors) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// String is "line 3: pools[0].id: what is wrong".
func (f ValidationError) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Field, f.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Message)
}
