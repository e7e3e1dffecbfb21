// Package spread hashes short ids evenly, the same way in every daemon.
package spread

import "hash/fnv"

// Hash is an even hash of the parts together. FNV alone leaves the high bits
// of ids that differ in their last letter nearly alike, so its sum is mixed
// once more (the finalizer of MurmurHash3).
func Hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p)) // a hash never fails
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

// Fraction is a hash in [0, 1).
func Fraction(parts ...string) float64 {
	const mantissa = 53
	return float64(Hash(parts...)>>(64-mantissa)) / (1 << mantissa)
}
