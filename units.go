package tamarindworks

import (
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// Cores counts processor cores.
	Cores float64
	// Megabytes is an amount of memory in units of 1e6 bytes.
	Megabytes int64
	// Bytes is a size in bytes.
	Bytes int64
	// BytesPerSecond is a transfer rate.
	BytesPerSecond float64
	// Slots is a number of requests that an instance runs at the same time.
	Slots int
	// Duration is a time.Duration that is encoded as text, such as "1.5s".
	Duration time.Duration
)

// UnmarshalText parses a duration such as "300ms". Errors quote the text.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText formats the duration like time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }
