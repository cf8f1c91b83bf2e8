package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against taking different requests for one: they differ in their query or method.
func TestFingerprint_DiffersByWhatIsAskedFor(t *testing.T) {
	is := is.New(t)
	seen := make(map[uint64]bool)
	for _, method := range []string{"GET", "HEAD"} {
		for _, target := range []string{"/p", "/p?item=1", "/p?item=2", "/p/item"} {
			for _, key := range []string{"key", "other"} {
				for _, body := range []string{"", "body"} {
					seen[Fingerprint(method, "h", target, key, []byte(body))] = true
				}
			}
		}
	}
	is.Equal(len(seen), 2*4*2*2)
}
