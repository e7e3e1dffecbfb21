// Package tomlfile decodes TOML strictly: it reports all unknown keys and bad
// values at once, each with its line.
package tomlfile

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	tw "github.com/tamarindworks/tamarindworks"
)

// maxFaults bounds how often a file with bad values is decoded again.
const maxFaults = 50

// Validator is a configuration that sets the defaults of missing values and
// validates itself. Validate fails with tw.ValidationErrors.
type Validator interface {
	SetDefaults()
	Validate() error
}

// Decode decodes source into v, sets its defaults and validates it. The error
// is of type tw.ValidationErrors.
func Decode(source []byte, v Validator) error {
	faults := decodeStrict(source, v)
	v.SetDefaults()
	var found tw.ValidationErrors
	if err := v.Validate(); errors.As(err, &found) {
		faults = append(faults, withLines(source, found, faults)...)
	}
	return faults.Err()
}

// decodeStrict collects syntax errors, unknown keys and bad values. The decoder
// stops at the first bad value, so its line is blanked and the source decoded again.
func decodeStrict(source []byte, v any) tw.ValidationErrors {
	var faults tw.ValidationErrors
	rest := bytes.Clone(source)
	for range maxFaults {
		decoder := toml.NewDecoder(bytes.NewReader(rest))
		decoder.DisallowUnknownFields()
		err := decoder.Decode(v)
		var missing *toml.StrictMissingError
		var bad *toml.DecodeError
		switch {
		case err == nil:
			return faults
		case errors.As(err, &missing):
			return append(faults, unknownKeys(missing)...)
		case errors.As(err, &bad):
			line, _ := bad.Position()
			faults = append(faults, tw.ValidationError{Field: fieldName(bad.Key()), Line: line, Message: stripTOMLPrefix(bad.Error())})
			if !blankLine(rest, line) {
				return faults
			}
		default:
			return append(faults, tw.ValidationError{Field: "file", Message: err.Error()})
		}
	}
	return faults
}

func unknownKeys(missing *toml.StrictMissingError) tw.ValidationErrors {
	var faults tw.ValidationErrors
	for _, e := range missing.Errors {
		line, _ := e.Position()
		faults = append(faults, tw.ValidationError{Field: fieldName(e.Key()), Line: line, Message: "is not a known key"})
	}
	return faults
}

// withLines adds to each found fault the line of its field, or of the table that
// lacks it, and drops those on the line of a known fault.
func withLines(source []byte, found, known tw.ValidationErrors) tw.ValidationErrors {
	index := indexLines(source)
	taken := map[int]bool{}
	for _, f := range known {
		taken[f.Line] = true
	}
	var out tw.ValidationErrors
	for _, f := range found {
		line, exact := index.line(f.Field)
		if exact && taken[line] {
			continue
		}
		f.Line = line
		out = append(out, f)
	}
	return out
}

func fieldName(key toml.Key) string {
	if len(key) == 0 {
		return "file"
	}
	return strings.Join(key, ".")
}

func stripTOMLPrefix(text string) string { return strings.TrimPrefix(text, "toml: ") }

// blankLine overwrites a line with spaces. It returns false if nothing has changed.
func blankLine(source []byte, line int) bool {
	start := 0
	for ; line > 1; line-- {
		next := bytes.IndexByte(source[start:], '\n')
		if next < 0 {
			return false
		}
		start += next + 1
	}
	changed := false
	for i := start; i < len(source) && source[i] != '\n'; i++ {
		changed = changed || source[i] != ' '
		source[i] = ' '
	}
	return changed
}
