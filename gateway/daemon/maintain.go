package daemon

import (
	"context"
	"time"

	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/catalog"
)

// maintain removes expired cache entries, connections and health records, and
// logs which daemons join and leave. It runs once a second until the context
// ends.
func (d *Daemon) maintain(ctx context.Context) {
	const interval = time.Second
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	known := make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		view := d.catalog.View()
		listed := make(map[string]bool, len(view.Servers))
		holders := make(map[cacheindex.Holder]bool, len(view.Servers))
		for incarnation, server := range view.Servers {
			listed[incarnation.ID] = true
			holders[cacheindex.Holder(server.Tag())] = true
		}
		d.cacheIndex.Expire(func(h cacheindex.Holder) bool { return holders[h] })
		d.pool.Expire(func(id string) bool { return listed[id] })
		d.health.Expire()
		if d.servers != nil {
			d.servers.Expire()
		}
		if d.handler.Admission != nil {
			d.handler.Admission.Expire()
		}
		isListed := func(s catalog.Incarnation) bool { return view.Servers[s] != nil }
		d.avoid.Expire(isListed)
		d.warmup.Expire(isListed)
		if view.Table != nil {
			for range d.frontend.CloseIdle(view.Table.Limits().IdleTimeout) {
				d.metrics.Count("idle_connections_closed")
			}
		}
		known = d.logPeers(known)
	}
}

// logPeers logs the difference between the known daemons and those that are
// alive now, and returns the latter.
func (d *Daemon) logPeers(known map[string]bool) map[string]bool {
	alive := make(map[string]bool)
	var joined, lost []string
	for _, p := range d.peers.Alive() {
		alive[p.IP] = true
		if !known[p.IP] {
			joined = append(joined, p.IP)
		}
	}
	for ip := range known {
		if !alive[ip] {
			lost = append(lost, ip)
		}
	}
	if len(joined)+len(lost) > 0 {
		d.log.PeersChanged(joined, lost, len(alive))
	}
	return alive
}
