package daemoncmd

import (
	"fmt"
	"io"
	"time"

	"cassialatch.dev/cassialatch/internal/format"
	"cassialatch.dev/wire/operatorapi"
)

func writeStatus(w io.Writer, s *operatorapi.Status) error {
	return writeTables(w,
		summary(s), documents(s.Documents), daemons(s.Daemons),
		backends(s.Backends), quarantined(s.Quarantined), control(s.Control))
}

func summary(s *operatorapi.Status) *format.Table {
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
	return state + ", last read " + age(p.LastReadMs)
}

func documents(list []operatorapi.Document) *format.Table {
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

func daemons(list []operatorapi.Daemon) *format.Table {
	t := format.NewTable("Daemons", "ID", "ZONE", "ADDRESS", "STATE", "HEARD")
	for _, d := range list {
		t.AddRow(d.ID, d.Zone, d.Address, daemonState(d), age(d.LastSeenMs))
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

func backends(list []operatorapi.Backend) *format.Table {
	t := format.NewTable("Backend servers", "ID", "SERVICE", "ZONE", "HOME", "IN FLIGHT", "QUEUED", "LIMIT", "WEIGHT", "LEAVING", "AGE")
	for _, b := range list {
		t.AddRow(b.ID, b.Service, b.Zone, b.Home, b.InFlight, b.Queued, b.Limit, fmt.Sprintf("%.2f", b.Weight), yesNo(b.Leaving), age(b.AgeMs))
	}
	return t
}

func quarantined(list []operatorapi.Quarantine) *format.Table {
	t := format.NewTable("Quarantined requests", "FINGERPRINT", "CRASHES", "EXPIRES IN")
	for _, q := range list {
		t.AddRow(q.Fingerprint, q.Crashes, milliseconds(q.ExpiresMs))
	}
	return t
}

func control(list []operatorapi.Traffic) *format.Table {
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

// age describes how long ago something was; negative means never.
func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return milliseconds(ms) + " ago"
}

func milliseconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}
