package tamarindworks

import (
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// Cores counts processor cores.
	Cores float64
	// Megabytes counts memory in units of 1e6 bytes.
	Megabytes int64
	// Bytes counts octets.
	Bytes int64
	// BytesPerSecond is a rate of transfer.
	BytesPerSecond float64
	// Slots counts requests that an instance runs at the same time.
	Slots int
	// Duration is a time.Duration that reads and writes as text ("1.5s").
	Duration time.Duration
)

// UnmarshalText reads a duration such as "300ms"; errors name the text.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes the duration as time.Duration prints it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std is d as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }
