package daemoncmd

import (
	"fmt"
	"io"
	"time"

	"cassialatch.dev/cassialatch/internal/format"
	"cassialatch.dev/wire/operatorapi"
)

// writeStatus writes a status as a series of tables.
func writeStatus(w io.Writer, s *operatorapi.Status) error {
	return writeTables(w,
		summaryTable(s), documentTable(s.Documents), daemonTable(s.Daemons),
		backendTable(s.Backends), quarantineTable(s.Quarantined), trafficTable(s.Control))
}

// summaryTable returns the table of the daemon's own state.
func summaryTable(s *operatorapi.Status) *format.Table {
	t := format.NewTable("")
	t.AddRow("daemon", s.ID)
	t.AddRow("site", s.Site)
	t.AddRow("availability zone", s.Zone)
	t.AddRow("incarnation", s.Incarnation)
	t.AddRow("version", s.Version)
	t.AddRow("ready", yesNo(s.Ready))
	t.AddRow("draining", yesNo(s.Draining))
	t.AddRow("in flight", s.InFlight)
	t.AddRow("platform", platformState(s.Platform))
	t.AddRow("VM list version", s.Platform.VMListVersion)
	if s.Platform.LastFailure != "" {
		t.AddRow("platform failure", s.Platform.LastFailure)
	}
	return t
}

func platformState(p operatorapi.Platform) string {
	state := "unreachable"
	if p.Reachable {
		state = "reachable"
	}
	return state + ", last read " + formatAge(p.LastReadMs)
}

func documentTable(list []operatorapi.Document) *format.Table {
	t := format.NewTable("Documents", "NAME", "IN FORCE", "REFUSED", "REASON")
	for _, d := range list {
		refused := ""
		if d.RejectedVersion > 0 {
			refused = fmt.Sprint(d.RejectedVersion)
		}
		t.AddRow(d.Name, d.InForceVersion, refused, d.Reason)
	}
	return t
}

func daemonTable(list []operatorapi.Daemon) *format.Table {
	t := format.NewTable("Daemons", "ID", "ZONE", "ADDRESS", "STATE", "HEARD")
	for _, d := range list {
		t.AddRow(d.ID, d.Zone, d.Address, daemonState(d), formatAge(d.LastSeenMs))
	}
	return t
}

func daemonState(d operatorapi.Daemon) string {
	switch {
	case !d.Alive:
		return "dead"
	case d.Draining:
		return "draining"
	default:
		return "alive"
	}
}

func backendTable(list []operatorapi.Backend) *format.Table {
	t := format.NewTable("Backend servers", "ID", "SERVICE", "ZONE", "HOME", "IN FLIGHT", "QUEUED", "LIMIT", "WEIGHT", "LEAVING", "AGE")
	for _, b := range list {
		t.AddRow(b.ID, b.Service, b.Zone, b.Home, b.InFlight, b.Queued, b.Limit, fmt.Sprintf("%.2f", b.Weight), yesNo(b.Leaving), formatAge(b.AgeMs))
	}
	return t
}

func quarantineTable(list []operatorapi.Quarantine) *format.Table {
	t := format.NewTable("Quarantined requests", "FINGERPRINT", "CRASHES", "EXPIRES IN")
	for _, q := range list {
		t.AddRow(q.Fingerprint, q.Crashes, formatMs(q.ExpiresMs))
	}
	return t
}

func trafficTable(list []operatorapi.Traffic) *format.Table {
	t := format.NewTable("Control traffic", "KIND", "SENT BYTES", "READ BYTES", "BYTES/S", "DEFERRED")
	for _, c := range list {
		t.AddRow(c.Kind, c.SentBytes, c.ReadBytes, fmt.Sprintf("%.0f", c.BytesPerSecond), c.Deferred)
	}
	return t
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// formatAge formats the time since an event, which is given in milliseconds. A
// negative time means that there was no event.
func formatAge(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return formatMs(ms) + " ago"
}

// formatMs formats a number of milliseconds as a duration.
func formatMs(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}
