// Package tomlfile reads TOML strictly: unknown keys and bad values are
// faults, all told at once, each with its line.
package tomlfile

import (
	"bytes"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	tw "github.com/tamarindworks/tamarindworks"
)

// maxFaults bounds how often a file with bad values is read again.
const maxFaults = 50

// Validator is a configuration that fills in what was left out and checks
// itself. Validate fails with tw.Faults.
type Validator interface {
	SetDefaults()
	Validate() error
}

// Decode reads source into v, fills its defaults and validates it. The error
// is of type tw.Faults.
func Decode(source []byte, v Validator) error {
	faults := decodeStrict(source, v)
	v.SetDefaults()
	var found tw.ValidationErrors
	if err := v.Validate(); errors.As(err, &found) {
		faults = append(faults, withLines(source, found, faults)...)
	}
	return faults.Err()
}

// decodeStrict gathers syntax faults, unknown keys and bad values. The
// library stops at the first bad value, so I blank its line and read again.
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

// withLines gives each fault the line of its field, or of the table that lacks
// it, and drops those on a line that is at fault already.
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

// blankLine overwrites a line with spaces; false if there is nothing to blankLine.
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
