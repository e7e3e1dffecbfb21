package tamarindworks

import (
	"net/http"
	"strings"
	"time"
)

type (
	// Class is the priority class of a request.
	Class string

	// Route routes requests for a host and path prefix to a job.
	Route struct {
		Host  string `toml:"host"` // empty matches every host
		Path  string `toml:"path"` // prefix of whole segments
		Job   JobID  `toml:"job"`
		Class Class  `toml:"class"`
		// Repeatable says whether a request may be executed more than once.
		// If unset, this depends on the method (RFC 9110, section 9.2.2).
		Repeatable *bool `toml:"repeatable"`
		// Timeout limits requests whose caller sets no shorter timeout.
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

// Valid reports whether c is one of Classes.
func (c Class) Valid() bool { return c == ClassQuick || c == ClassNormal || c == ClassLong }

// SetDefaults sets default values for unset fields.
func (r *Route) SetDefaults() {
	if r.Class == "" {
		r.Class = ClassNormal
	}
	if r.Timeout == 0 {
		r.Timeout = defaultTimeout
	}
}

// MayRepeat reports whether a request with this method may be executed again.
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

// Matches reports whether the route applies to a request. Host has no port.
func (r *Route) Matches(host, path string) bool {
	if r.Host != "" && !strings.EqualFold(r.Host, host) {
		return false
	}
	if !strings.HasPrefix(path, r.Path) {
		return false
	}
	// "/check" matches "/check/1" but not "/checkout".
	return len(path) == len(r.Path) || strings.HasSuffix(r.Path, "/") || path[len(r.Path)] == '/'
}

func (r *Route) validate(path string, errs *ValidationErrors) {
	if !strings.HasPrefix(r.Path, "/") {
		errs.Add(path+".path", "is %q, must begin with /", r.Path)
	}
	if r.Job == "" {
		errs.Add(path+".job", "is missing")
	}
	if !r.Class.Valid() {
		errs.Add(path+".class", "is %q, must be quick, normal or long", r.Class)
	}
	if r.Timeout < 0 || r.Timeout > maxTimeout {
		errs.Add(path+".timeout", "is %v, must be between 0 and %v", r.Timeout.Std(), maxTimeout.Std())
	}
}
