// Package spread hashes short ids uniformly and identically in every daemon.
package spread

import "hash/fnv"

// Hash returns a uniform hash of the parts. FNV-1a alone gives ids that differ
// only in their last letter nearly the same high bits, so its sum is mixed by
// the finalizer of MurmurHash3.
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // Write of a hash never fails
		_, _ = h.Write([]byte{0})
	}
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// Fraction returns a hash of the parts in [0, 1).
func Fraction(parts ...string) float64 {
	const mantissa = 53
	return float64(Hash(parts...)>>(64-mantissa)) / (1 << mantissa)
}
