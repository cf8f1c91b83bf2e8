package node

import (
	"strconv"
	"time"

	"cassialatch.dev/config/dynamic"
	"cassialatch.dev/fleet/placement"
	"cassialatch.dev/seal/chat"
	"cassialatch.dev/wire/operatorapi"
	"cassialatch.dev/wire/platformapi"
)

// hexBase is the number base in which identifiers are shown to operators.
const hexBase = 16

// Status implements operator.Node.
func (n *Node) Status() operatorapi.Status {
	return operatorapi.Status{
		ID:          n.self.Id,
		Zone:        n.self.Zone,
		Site:        n.settings.Site,
		Incarnation: strconv.FormatUint(n.self.Incarnation, hexBase),
		Version:     n.opts.Version,
		Ready:       n.Ready(),
		Draining:    n.directory.Draining(),
		InFlight:    n.entry.InFlight(),
		Platform:    n.platformStatus(),
		Documents:   n.documentStatus(),
		Daemons:     n.daemonStatus(),
		Backends:    n.backendStatus(),
		Quarantined: n.quarantineStatus(),
		Control:     n.meter.Snapshot(),
	}
}

// platformStatus returns the state of the connection to the platform.
func (n *Node) platformStatus() operatorapi.Platform {
	health := n.watcher.Health()
	status := operatorapi.Platform{
		Reachable:     health.Reachable,
		LastReadMs:    sinceMs(health.LastRead),
		VMListVersion: n.directory.VMListVersion(),
	}
	if health.LastFailure != nil {
		status.LastFailure = health.LastFailure.Error()
	}
	return status
}

// documentStatus returns the versions of the documents in force and of rejected
// ones.
func (n *Node) documentStatus() []operatorapi.Document {
	var documents []operatorapi.Document
	for _, held := range n.adopter.Documents() {
		doc := operatorapi.Document{Name: held.Name, InForceVersion: held.Version}
		if held.Rejected != nil {
			doc.RejectedVersion = held.Rejected.Version
			doc.Reason = held.Rejected.Reason.Error()
		}
		documents = append(documents, doc)
	}
	return documents
}

// daemonStatus returns the state of each daemon in the directory.
func (n *Node) daemonStatus() []operatorapi.Daemon {
	var daemons []operatorapi.Daemon
	for _, d := range n.directory.Daemons() {
		daemons = append(daemons, operatorapi.Daemon{
			ID:         d.ID,
			Zone:       d.Zone,
			Address:    d.Address,
			Alive:      d.Alive,
			Draining:   d.Draining,
			LastSeenMs: sinceMs(d.LastSeen),
		})
	}
	return daemons
}

// backendStatus returns the state and load of each backend server.
func (n *Node) backendStatus() []operatorapi.Backend {
	sums := n.loads.Summaries()
	var backends []operatorapi.Backend
	for _, server := range n.directory.Servers("") {
		sum := sums[server.ID]
		status := operatorapi.Backend{
			ID:       server.ID,
			Service:  server.Service,
			Zone:     server.Zone,
			InFlight: sum.InFlight,
			Queued:   sum.Queued,
			Limit:    sum.Limit,
			Weight:   sum.Weight,
			Leaving:  sum.Leaving || server.State == platformapi.StateLeaving,
			AgeMs:    sinceMs(sum.MeasuredAt),
		}
		if home, ok := n.directory.Home(server.ID); ok {
			status.Home = home.ID
		}
		backends = append(backends, status)
	}
	return backends
}

// maxShownQuarantined is the maximum number of fingerprints in a status.
const maxShownQuarantined = 1000

// quarantineStatus returns the fingerprints of quarantined requests.
func (n *Node) quarantineStatus() []operatorapi.Quarantine {
	var shown []operatorapi.Quarantine
	for _, q := range n.quarantine.Export(maxShownQuarantined) {
		shown = append(shown, operatorapi.Quarantine{
			Fingerprint: strconv.FormatUint(q.Fingerprint, hexBase),
			Crashes:     int(q.Crashes),
			ExpiresMs:   int64(q.TtlMs),
		})
	}
	return shown
}

// Config implements operator.Node.
func (n *Node) Config() (operatorapi.ConfigInForce, bool) {
	config := n.adopter.Config()
	if config == nil {
		return operatorapi.ConfigInForce{}, false
	}
	inForce := operatorapi.ConfigInForce{
		BaseVersion:    config.BaseVersion,
		OverlayVersion: config.OverlayVersion,
		TOML:           string(dynamic.Render(config)),
	}
	for _, inactive := range config.Inactive {
		inForce.Inactive = append(inForce.Inactive, inactive.Key+": "+inactive.Reason)
	}
	return inForce, true
}

// Explain implements operator.Node.
func (n *Node) Explain(workspace, model, token string) (operatorapi.Explanation, *operatorapi.Error) {
	config := n.adopter.Config()
	if config == nil {
		return operatorapi.Explanation{}, &operatorapi.Error{Code: "no_configuration", Message: "no configuration is in force yet"}
	}
	ws, known := config.Workspaces[workspace]
	if !known {
		return operatorapi.Explanation{}, &operatorapi.Error{Code: "unknown_workspace", Message: "workspace is not in the configuration"}
	}
	if model == "" && len(ws.Models) > 0 {
		model = ws.Models[0]
	}
	place := placement.Request{ChatKey: workspace, Class: ws.Class}
	explanation := operatorapi.Explanation{Workspace: workspace, Model: model, Class: string(ws.Class)}
	if opened, err := chat.Open(n.ring, token); token != "" && err == nil {
		place.WarmBackend = opened.Backend
		place.WarmTokens = opened.Tokens
		explanation.WarmBackend = opened.Backend
	} else if token != "" {
		explanation.RefusalReason = "chat token: " + err.Error()
	}
	explanation.Candidates = n.explainCandidates(model, place)
	return explanation, nil
}

// explainCandidates returns the backend servers that the router would try for a
// request, in order, with the load and reason behind each choice.
func (n *Node) explainCandidates(model string, place placement.Request) []operatorapi.Candidate {
	sums := n.loads.Summaries()
	var candidates []operatorapi.Candidate
	for _, choice := range n.router.Plan(model, place) {
		home, _ := n.directory.Home(choice.Backend)
		sum := sums[choice.Backend]
		candidates = append(candidates, operatorapi.Candidate{
			Backend:  choice.Backend,
			Home:     home.ID,
			InFlight: sum.InFlight,
			Limit:    sum.Limit,
			Reason:   string(choice.Reason),
		})
	}
	return candidates
}

// Drain implements operator.Node. It starts a graceful shutdown. Later calls only
// return the number of in-flight requests.
func (n *Node) Drain() operatorapi.DrainResponse {
	n.drainOnce.Do(func() {
		n.log.Info().Int("in_flight", n.entry.InFlight()).Msg("draining")
		n.directory.SetDraining()
		close(n.drain)
	})
	return operatorapi.DrainResponse{InFlight: n.entry.InFlight() + int(n.forwarded.Load())}
}

// sinceMs returns the time since t in milliseconds, or -1 if t is zero.
func sinceMs(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Milliseconds()
}
