package tamarindworks

import (
	"fmt"
	"strings"
)

type (
	// ValidationError describes one invalid field of a configuration or submission.
	ValidationError struct {
		Field   string // path such as "pools[2].instances"
		Line    int    // line in the source, 0 if unknown
		Message string
	}

	// ValidationErrors collects all errors, so that an operator sees them all at once.
	ValidationErrors []ValidationError
)

// Add appends an error of a field; format and args are as for fmt.Sprintf.
func (f *ValidationErrors) Add(field, format string, args ...any) {
	*f = append(*f, ValidationError{Field: field, Message: fmt.Sprintf(format, args...)})
}

// Error lists all errors, one per line.
func (f ValidationErrors) Error() string {
	lines := make([]string, len(f))
	for i, e := range f {
		lines[i] = e.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil if it is empty.
func (f ValidationErrors) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// String formats the error like "line 3: pools[0].id: is missing".
func (f ValidationError) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Field, f.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, f.Field, f.Message)
}
