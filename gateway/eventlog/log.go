package eventlog

import (
	"math"
	"os"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/call"
	"cassialatch.dev/gateway/ingress"
	"cassialatch.dev/gateway/quarantine"
)

// Log writes one line for each request and for each change of the daemon's
// state, its peers and the store.
type Log struct {
	z zerolog.Logger
}

func init() { zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00" }

// New returns a log that writes to w, with the daemon's name in each line.
func New(w *Writer, daemon string) *Log {
	z := zerolog.New(w).With().Timestamp().Str("daemon", daemon).Logger()
	return &Log{z: z}
}

// Request logs the outcome of a request, its reason and all attempts. Requests
// that were not run, may have run or were aborted are logged as warnings. A panic
// of the handler is logged as an event of its own.
func (l *Log) Request(r *ingress.Record) {
	if r.Panic != nil {
		l.z.Error().Str("event", "handler_panic").Str("id", r.ID).Str("error", r.Panic.Value).
			Bytes("stack", r.Panic.Stack).Msg("")
	}
	e := l.z.Info()
	switch r.Outcome {
	case ingress.OutcomeUnknown, ingress.OutcomeAborted, ingress.OutcomeNotRun:
		e = l.z.Warn()
	}
	e.Str("event", "request").Str("id", r.ID).
		Str("outcome", string(r.Outcome)).Int("status", r.Status)
	if r.Reason != ingress.ReasonNone {
		e.Str("reason", string(r.Reason))
	}
	e.Str("route", r.Route).Str("workspace", r.Workspace).Str("service", r.Service).
		Int64("version", r.ConfigVersion).Int64("revision", r.StoreRevision).
		Int64("confirmed_ms", r.ConfirmedAge.Milliseconds()).
		Int64("first_ms", r.FirstByte.Milliseconds()).Int64("took_ms", r.Duration.Milliseconds())
	if r.Waited > 0 {
		e.Int64("waited_ms", r.Waited.Milliseconds())
	}
	if r.PromptKey != 0 {
		e.Str("prompt", strconv.FormatUint(uint64(r.PromptKey), 16))
	}
	if r.Fingerprint != 0 {
		e.Str("fingerprint", strconv.FormatUint(r.Fingerprint, 16))
	}
	if len(r.CrashParts) > 0 {
		e.Strs("parts", partNames(r.CrashParts))
	}
	if r.Resumptions > 0 {
		e.Int("resumed", r.Resumptions)
	}
	attempts := zerolog.Arr()
	for i := range r.Attempts {
		attempts.Object(attemptMarshaler{&r.Attempts[i]})
	}
	e.Array("attempts", attempts).Msg("")
}

// attemptMarshaler writes an attempt as an object of a log line. It leaves out
// fields that are not set.
type attemptMarshaler struct{ *ingress.Attempt }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a attemptMarshaler) MarshalZerologObject(e *zerolog.Event) {
	e.Str("server", a.Server).Str("cause", string(a.Cause)).Int("in_flight", a.InFlight).Int64("took_ms", a.Duration.Milliseconds())
	if a.QueuedTokens != 0 {
		e.Int("queued_tokens", a.QueuedTokens)
	}
	if a.SharedTokens != 0 {
		e.Int("shared_tokens", a.SharedTokens)
	}
	if a.MissingTokens != 0 {
		e.Int("missing_tokens", a.MissingTokens)
	}
	if a.Pace != 0 && a.Pace != 1 {
		e.Float64("pace", math.Round(a.Pace*100)/100)
	}
	if a.FetchedFrom != "" {
		e.Str("fetch_from", a.FetchedFrom)
	}
	if a.Status != 0 {
		e.Int("status", a.Status)
	}
	if a.Cold {
		e.Bool("cold", true)
	}
	if a.Leaving {
		e.Bool("leaving", true)
	}
	if a.Pause > 0 {
		e.Int64("pause_ms", a.Pause.Milliseconds())
	}
	if a.Reason != ingress.ReasonNone {
		e.Str("reason", string(a.Reason))
	}
	if a.Listening != "" {
		e.Str("listening", string(a.Listening))
	}
	if a.Detail != "" {
		e.Str("detail", a.Detail)
	}
}

// StoreUnavailable implements reader.Log. It logs that the store can't be read;
// age is the time since the catalog was last confirmed.
func (l *Log) StoreUnavailable(err error, age time.Duration) {
	l.z.Warn().Str("event", "store_lost").Err(err).Int64("confirmed_ms", age.Milliseconds()).Msg("")
}

// StoreAvailable implements reader.Log. It logs that the store can be read
// again.
func (l *Log) StoreAvailable(outage time.Duration) {
	l.z.Info().Str("event", "store_back").Int64("outage_ms", outage.Milliseconds()).Msg("")
}

// ConfigRejected implements reader.Log. It logs that the configuration document
// of a revision can't be used.
func (l *Log) ConfigRejected(err error, revision int64) {
	l.z.Error().Str("event", "configuration_rejected").Err(err).Int64("revision", revision).Msg("")
}

// ServerRejected implements reader.Log. It logs that an entry or a peer's state names
// a server that can't be used.
func (l *Log) ServerRejected(origin string, err error, revision int64) {
	l.z.Warn().Str("event", "server_rejected").Str("origin", origin).Err(err).Int64("revision", revision).Msg("")
}

// Adopted implements reader.Log. It logs that a new state is in force, read from
// the origin.
func (l *Log) Adopted(origin string, revision, version int64, servers int, age time.Duration) {
	l.z.Info().Str("event", "state_adopted").Str("origin", origin).Int64("revision", revision).
		Int64("version", version).Int("servers", servers).
		Int64("confirmed_ms", age.Milliseconds()).Msg("")
}

// ZoneEvacuated logs that the servers of an availability zone get no requests from now on.
// age is that of the confirmation of the state which says so.
func (l *Log) ZoneEvacuated(zone string, age time.Duration) {
	l.z.Warn().Str("event", "zone_evacuated").Str("zone", zone).Int64("confirmed_ms", age.Milliseconds()).Msg("")
}

// ZoneTakenBack logs that the evacuation of an availability zone has ended.
func (l *Log) ZoneTakenBack(zone string, age time.Duration) {
	l.z.Info().Str("event", "zone_taken_back").Str("zone", zone).Int64("confirmed_ms", age.Milliseconds()).Msg("")
}

// PeerFetchFailed logs that a peer's newer state could not be fetched.
func (l *Log) PeerFetchFailed(ip string, took time.Duration, err error) {
	l.z.Warn().Str("event", "peer_fetch_failed").Str("peer", ip).Int64("took_ms", took.Milliseconds()).Err(err).Msg("")
}

// DatagramRejected logs that a datagram was not sent by a daemon.
func (l *Log) DatagramRejected(ip string, err error) {
	l.z.Warn().Str("event", "datagram_rejected").Str("peer", ip).Err(err).Msg("")
}

// ClientClosed logs that a limit has closed the connection of a caller to an endpoint, and how
// many connections limits have closed since the last such line.
func (l *Log) ClientClosed(endpoint, cause string, closed int) {
	l.z.Warn().Str("event", "client_closed").Str("endpoint", endpoint).Str("cause", cause).Int("closed", closed).Msg("")
}

// Quarantined implements quarantine.Log. It logs that requests are refused because
// they crash servers. Parts have the names that they have in request lines.
func (l *Log) Quarantined(b quarantine.Ban, crashes int) {
	l.quarantine("quarantined", &b).Bool("servers_down", b.ServersDown).
		Int64("since_ms", b.SinceMS).Int64("age_ms", b.AgeMS).Int("crashes", crashes).Msg("")
}

// QuarantineLifted implements quarantine.Log. It logs that a run has disproved a ban.
func (l *Log) QuarantineLifted(b quarantine.Ban) {
	l.quarantine("quarantine_lifted", &b).Msg("")
}

// quarantine returns a line about what a ban names.
func (l *Log) quarantine(event string, b *quarantine.Ban) *zerolog.Event {
	keys := make([]cacheindex.PartKey, len(b.Parts))
	for i, p := range b.Parts {
		keys[i] = cacheindex.KeyOf(call.Part{ID: p})
	}
	return l.z.Warn().Str("event", event).Strs("parts", partNames(keys)).
		Str("fingerprint", strconv.FormatUint(b.Fingerprint, 16))
}

// partNames returns the short names of parts of prompts.
func partNames(keys []cacheindex.PartKey) []string {
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = strconv.FormatUint(uint64(k), 16)
	}
	return names
}

// CacheListed implements cachescan.Log. It logs how many prompt parts a server's
// cache holds, or why they could not be listed.
func (l *Log) CacheListed(server string, parts int, err error) {
	e := l.z.Info()
	if err != nil {
		e = l.z.Warn().Err(err)
	}
	e.Str("event", "cache_listed").Str("server", server).Int("parts", parts).Msg("")
}

// Lifecycle logs a start, reload, drain or stop of the daemon.
func (l *Log) Lifecycle(event, detail string) {
	l.z.Info().Str("event", event).Str("detail", detail).Int("pid", os.Getpid()).Msg("")
}

// Failure logs an error that does not belong to a request.
func (l *Log) Failure(event string, err error) {
	l.z.Error().Str("event", event).Err(err).Msg("")
}

// PeersChanged logs which daemons have become alive and which are no longer
// alive, and how many are alive now.
func (l *Log) PeersChanged(joined, lost []string, alive int) {
	l.z.Info().Str("event", "peers_changed").Strs("heard", joined).Strs("lost", lost).
		Int("alive", alive).Msg("")
}
