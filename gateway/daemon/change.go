package daemon

import (
	"maps"
	"slices"
	"time"

	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
)

// beforeStateChange is the catalog's BeforeChange. It prepares the table of cold servers
// for the next view, and logs zones whose evacuation begins or ends.
func (d *Daemon) beforeStateChange(old, next *catalog.View, at boottime.Instant) {
	d.warmup.ObserveState(old, next)
	age := boottime.Now().Sub(at)
	logAdded(old.Evacuated, next.Evacuated, age, d.log.ZoneEvacuated)
	logAdded(next.Evacuated, old.Evacuated, age, d.log.ZoneTakenBack)
}

// logAdded calls log for each zone of the second set that is not in the first, in the
// order of their names.
func logAdded(before, after map[string]bool, age time.Duration, log func(zone string, age time.Duration)) {
	for _, zone := range slices.Sorted(maps.Keys(after)) {
		if !before[zone] {
			log(zone, age)
		}
	}
}
