package tamarindworks

import (
	"crypto/sha256"
	"encoding"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

type (
	// OrganisationID identifies an organisation, whose callers share keys, a weight
	// and a usage cap. It is empty for submissions from a public route or in a
	// deployment without organisations.
	OrganisationID string

	// KeyDigest is the SHA-256 digest of a caller's key. The keys themselves are not
	// stored, so that the configuration can be logged, sent and dumped without
	// revealing them.
	KeyDigest [sha256.Size]byte

	// Organisation is the configuration of an organisation.
	Organisation struct {
		ID OrganisationID `json:"id"`
		// Keys give access to the routes that are not public.
		Keys []KeyDigest `json:"keys"`
		// Weight is the organisation's share, relative to the others, when all
		// workers are full. It is also the number of its submissions per second that
		// are guaranteed service.
		Weight float64 `json:"weight"`
		// UsageCap limits the resources in use on all workers together; zero means
		// no limit on that resource.
		UsageCap Resources `json:"maximum"`
	}
)

var (
	_ encoding.TextMarshaler   = KeyDigest{}
	_ encoding.TextUnmarshaler = (*KeyDigest)(nil)
)

// maxKeyBytes limits the length of keys that are hashed. The platform's keys have some tens
// of bytes.
const maxKeyBytes = 256

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler.
func (d KeyDigest) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, d[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *KeyDigest) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(d)) {
		return errors.New("not the digest of a key")
	}
	_, err := hex.Decode(d[:], text)
	return errors.Wrap(err, "not the digest of a key")
}

// Fits reports whether all steps of a submission can ever run under the usage cap. The subtasks
// of a gang run at the same time, so a gang larger than the cap can never start.
func (o *Organisation) Fits(s *Submission) bool {
	for i := range s.Steps {
		step := &s.Steps[i]
		if step.Gang && !o.UsageCap.Allows(step.Need.Times(step.Count)) {
			return false
		}
	}
	return true
}

// Capped reports whether the organisation has a usage cap.
func (o *Organisation) Capped() bool { return o.UsageCap != Resources{} }
