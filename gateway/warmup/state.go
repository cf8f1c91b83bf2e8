package warmup

import (
	"slices"
	"time"

	"cassialatch.dev/gateway/catalog"
)

// ObserveState records what a new state publishes about the servers of services that have
// a limit. Servers in a zone whose evacuation has ended may have become cold. It must be
// called before requests use the next view.
func (t *Table) ObserveState(old, next *catalog.View) {
	if next.Table == nil {
		return
	}
	for id, s := range next.Servers {
		service := next.Table.Service(s.Service)
		if service == nil {
			continue
		}
		t.Observe(id, LimitOf(service), time.Duration(s.ColdRemaining)*time.Millisecond)
		if old.Evacuated[s.Zone] && !next.Evacuated[s.Zone] {
			t.Suspect(id, LimitOf(service))
		}
	}
}

// SuspectTags is Suspect for the servers with the tags.
func (t *Table) SuspectTags(view *catalog.View, tags []uint32) {
	if view.Table == nil {
		return
	}
	for id, s := range view.Servers {
		if service := view.Table.Service(s.Service); service != nil && slices.Contains(tags, s.Tag()) {
			t.Suspect(id, LimitOf(service))
		}
	}
}
