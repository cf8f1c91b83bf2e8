package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RendezvousOrder returns the IDs in rendezvous (highest random weight) order for
// the key, highest score first. Removing an ID leaves the order of the others
// unchanged.
func RendezvousOrder(key string, ids []string) []string {
	keyHash := xxhash.Sum64String(key)
	scored := make([]scoredID, len(ids))
	for i, id := range ids {
		scored[i] = scoredID{id: id, score: score(keyHash, id)}
	}
	slices.SortFunc(scored, func(a, b scoredID) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	ordered := make([]string, len(scored))
	for i, s := range scored {
		ordered[i] = s.id
	}
	return ordered
}

// scoredID is an ID with its rendezvous score.
type scoredID struct {
	id    string
	score uint64
}

// score returns the rendezvous score of an ID for a hashed key.
func score(keyHash uint64, id string) uint64 {
	return mix(keyHash ^ xxhash.Sum64String(id))
}

// mix is the finalizer of SplitMix64. Without it, the XOR of the two hashes would
// order the IDs of similar keys similarly.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
