package tamarindworks

import (
	"crypto/sha256"
	"encoding"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

type (
	// OrganisationID names an organisation, whose callers share keys, a weight and a
	// usage cap. Empty is nobody: work from a public route, or of a deployment
	// without organisations.
	OrganisationID string

	// KeyDigest stands for a caller's key. Keys themselves are not kept: what holds
	// digests alone can be logged, sent and dumped without giving a key away.
	KeyDigest [sha256.Size]byte

	// Organisation is what the configuration says of an organisation.
	Organisation struct {
		ID OrganisationID `json:"id"`
		// Keys open the routes that are not public.
		Keys []KeyDigest `json:"keys"`
		// Weight is the share when all is full, and how many submissions a second
		// are owed service.
		Weight float64 `json:"weight"`
		// UsageCap is what may run over all workers; a resource that is zero has no
		// limit.
		UsageCap Resources `json:"maximum"`
	}
)

var (
	_ encoding.TextMarshaler   = KeyDigest{}
	_ encoding.TextUnmarshaler = (*KeyDigest)(nil)
)

// maxKeyBytes bounds what is hashed for a caller; keys of the platform have some tens.
const maxKeyBytes = 256

// DigestKey is the digest of a key.
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

// Fits tells whether all of a submission's steps can ever run under the usage cap. The members
// of a gang run together, so that one larger than the whole cap never starts.
func (o *Organisation) Fits(s *Submission) bool {
	for i := range s.Steps {
		step := &s.Steps[i]
		if step.Gang && !o.UsageCap.Allows(step.Need.Times(step.Count)) {
			return false
		}
	}
	return true
}

// Capped tells whether the organisation has a usage cap.
func (o *Organisation) Capped() bool { return o.UsageCap != Resources{} }
