package home

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"cassialatch.dev/fleet/backend"
	"cassialatch.dev/wire/engineapi"
)

// recorder records what it hears.
type recorder struct {
	heard []string
}

func (r *recorder) Stored(prefix uint64, backend string)  { r.note("stored", prefix) }
func (r *recorder) Evicted(prefix uint64, backend string) { r.note("evicted", prefix) }
func (r *recorder) Gap(backend string)                    { r.note("gap", 0) }
func (r *recorder) Forget(backend string)                 { r.note("forget", 0) }

func (r *recorder) note(what string, prefix uint64) {
	r.heard = append(r.heard, fmt.Sprint(what, " ", prefix))
}

// stored returns a page with one event.
func stored(instance string, seq uint64, more bool) backend.CachePage {
	event := engineapi.CacheEvent{Seq: seq, Kind: engineapi.CacheStored, Prefix: seq}
	return backend.CachePage{Instance: instance, More: more, Events: []engineapi.CacheEvent{event}}
}

func TestCacheEventsTellGapsAndRestarts(t *testing.T) {
	is := is.New(t)
	r := &recorder{}
	events := &cacheEvents{backend: "klang-0", observer: r}
	events.take(stored("first", 1, false))
	events.take(stored("first", 3, false))
	events.take(stored("second", 9, false)) // read by the first one's numbers
	is.Equal(events.after, uint64(0))
	events.take(stored("second", 1, false))
	is.Equal(r.heard, []string{"stored 1", "gap 0", "stored 3", "forget 0", "stored 1"})
}

// A reader that is far behind reaches the newest event in few reads.
func TestCacheEventsReaderCatchesUp(t *testing.T) {
	is := is.New(t)
	const newest, perRead, fewReads = 50_000, 100, 40
	events := &cacheEvents{backend: "klang-0", observer: &recorder{}}
	reads := 0
	for ; events.after < newest && reads < fewReads; reads++ {
		page := backend.CachePage{}
		for seq := events.after + events.stride + 1; seq <= newest && len(page.Events) < perRead; seq++ {
			page.Events = append(page.Events, engineapi.CacheEvent{Seq: seq})
			page.More = seq < newest
		}
		events.take(page)
	}
	is.Equal(events.after, uint64(newest))
}
