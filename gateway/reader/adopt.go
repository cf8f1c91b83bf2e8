package reader

import (
	"cassialatch.dev/gateway/boottime"
	"cassialatch.dev/gateway/catalog"
	"cassialatch.dev/gateway/route"
)

// adopt writes an update to the catalog. If its configuration can't be decoded,
// the configuration in force is retained.
func (r *Reader) adopt(u Update) {
	state := catalog.State{
		Revision: u.Revision,
		RawRev:   u.ConfigRev,
		Raw:      u.Config,
		Servers:  r.withRetained(u.Servers),

		Evacuated: u.Evacuated,
	}
	table := r.publishedTable(&state)
	before := r.catalog.View()
	if r.catalog.Adopt(state, table, u.SentAt) {
		r.logChange(storeOrigin, before)
	}
}

// publishedTable is table for a state of the store. It returns nil if the document
// can't be decoded, and does not decode it again at the next poll.
func (r *Reader) publishedTable(s *catalog.State) *route.Table {
	if s.RawRev == r.rejectedRev {
		return nil
	}
	table, err := r.table(s)
	if err != nil {
		r.rejectedRev = s.RawRev
		r.log.ConfigRejected(err, s.RawRev)
	}
	return table
}

// logChange logs the adoption of a state unless its contents equal the previous
// ones.
func (r *Reader) logChange(origin string, before *catalog.View) {
	after := r.catalog.View()
	if after.Hash == before.Hash {
		return
	}
	var version int64
	if after.Table != nil {
		version = after.Table.Version()
	}
	age, _ := r.catalog.Age()
	r.log.Adopted(origin, after.Revision, version, len(after.Servers), age)
}

// AdoptFromPeer writes a state received from a peer to the catalog. A state whose
// configuration can't be decoded is discarded, and servers and zones that can't be used
// are left out. The state was complete at the given time.
func (r *Reader) AdoptFromPeer(origin string, s catalog.State, at boottime.Instant) {
	s.Servers = r.usableServers(origin, &s)
	s.Evacuated = catalog.UsableZones(s.Evacuated, func(err error) { r.log.ServerRejected(origin, err, s.Revision) })
	table, err := r.table(&s)
	if err != nil {
		r.log.ConfigRejected(err, s.RawRev)
		return
	}
	before := r.catalog.View()
	if r.catalog.Adopt(s, table, at) {
		r.logChange(origin, before)
	}
}

// usableServers returns the servers of a peer's state without those that can't be
// used, which it logs.
func (r *Reader) usableServers(origin string, s *catalog.State) []catalog.Server {
	usable := make([]catalog.Server, 0, len(s.Servers))
	for i := range s.Servers {
		if err := s.Servers[i].Check(); err != nil {
			r.log.ServerRejected(origin, err, s.Revision)
			continue
		}
		usable = append(usable, s.Servers[i])
	}
	return usable
}

// table decodes the configuration document of a state. It returns nil if the
// document is not newer than the one in force.
func (r *Reader) table(s *catalog.State) (*route.Table, error) {
	if len(s.Raw) == 0 || s.RawRev <= r.catalog.State().RawRev {
		return nil, nil
	}
	c, err := r.source.DecodeConfig(s.Raw)
	if err != nil {
		return nil, err
	}
	return route.NewTable(c), nil
}
