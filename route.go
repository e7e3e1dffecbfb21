package tamarindworks

import (
	"net/http"
	"strings"
	"time"
)

type (
	// Class says how urgent a request is.
	Class string

	// Route leads requests for a host and path prefix to a job.
	Route struct {
		Host  string `toml:"host"` // empty matches every host
		Path  string `toml:"path"` // prefix, by whole segments
		Job   JobID  `toml:"job"`
		Class Class  `toml:"class"`
		// Repeatable says whether a request may be run more than once. When
		// left out, the method decides (RFC 9110, section 9.2.2).
		Repeatable *bool `toml:"repeatable"`
		// Timeout bounds a request whose caller names no shorter time.
		Timeout Duration `toml:"timeout"`
	}
)

// Classes, from most to least urgent.
const (
	ClassQuick  Class = "quick"
	ClassNormal Class = "normal"
	ClassLong   Class = "long"
)

// Classes lists all classes, the most urgent first.
var Classes = []Class{ClassQuick, ClassNormal, ClassLong}

const (
	defaultTimeout = Duration(10 * time.Second)
	maxTimeout     = Duration(10 * time.Minute)
)

// Valid tells whether c is one of Classes.
func (c Class) Valid() bool { return c == ClassQuick || c == ClassNormal || c == ClassLong }

// SetDefaults fills what was left out.
func (r *Route) SetDefaults() {
	if r.Class == "" {
		r.Class = ClassNormal
	}
	if r.Timeout == 0 {
		r.Timeout = defaultTimeout
	}
}

// MayRepeat tells whether a request with this method may be run again.
func (r *Route) MayRepeat(method string) bool {
	if r.Repeatable != nil {
		return *r.Repeatable
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// Matches tells whether the route takes a request. Host is without port.
func (r *Route) Matches(host, path string) bool {
	if r.Host != "" && !strings.EqualFold(r.Host, host) {
		return false
	}
	if !strings.HasPrefix(path, r.Path) {
		return false
	}
	// "/check" takes "/check/1" but not "/checkout".
	return len(path) == len(r.Path) || strings.HasSuffix(r.Path, "/") || path[len(r.Path)] == '/'
}

func (r *Route) validate(at string, faults *ValidationErrors) {
	if !strings.HasPrefix(r.Path, "/") {
		faults.Add(at+".path", "is %q, must begin with /", r.Path)
	}
	if r.Job == "" {
		faults.Add(at+".job", "is missing")
	}
	if !r.Class.Valid() {
		faults.Add(at+".class", "is %q, must be quick, normal or long", r.Class)
	}
	if r.Timeout < 0 || r.Timeout > maxTimeout {
		faults.Add(at+".timeout", "is %v, must be between 0 and %v", r.Timeout.Std(), maxTimeout.Std())
	}
}
