package peers

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"cassialatch.dev/gateway/quarantine"
	"cassialatch.dev/gateway/serverstate"
)

// Limits on the numbers of a message. They are far above what a daemon sends, and
// keep sums and ages from overflowing.
const (
	maxAge      = 365 * 24 * time.Hour
	maxRequests = 1 << 24 // in flight at one server
	maxTokens   = 1 << 40 // of prompts at one server
)

// fieldServerReports is the name of a field of Message.
const fieldServerReports = "ServerReports"

// MessageError is returned for a datagram that no daemon has sent.
type MessageError struct {
	Field string // of Message; empty: the whole datagram
	Cause error
}

// Error implements error.
func (e *MessageError) Error() string {
	return fmt.Sprintf("peers: datagram, field %q: %v", e.Field, e.Cause)
}

// Unwrap returns the cause.
func (e *MessageError) Unwrap() error { return e.Cause }

// Causes of a MessageError, beside those of the CBOR decoder.
var (
	errTooShort   = errors.New("has no header")
	errOutOfRange = errors.New("number is out of range")
	errNotAnIP    = errors.New("is not an IPv4 address")
	errTooMany    = errors.New("has too many entries")
)

// check returns an error of type *MessageError if a field has a value that no daemon
// sends.
func (m *Message) check() error {
	if m.AgeMS < -1 || !isAge(max(m.AgeMS, 0)) || m.Revision < 0 {
		return &MessageError{Field: "AgeMS", Cause: errOutOfRange}
	}
	if !inRange(m.InFlight) {
		return &MessageError{Field: "InFlight", Cause: errOutOfRange}
	}
	for i := range m.Relayed {
		if err := m.Relayed[i].check(); err != nil {
			return &MessageError{Field: "Relayed", Cause: err}
		}
	}
	if !agesInRange(&m.CrashNews) {
		return &MessageError{Field: "CrashNews", Cause: errOutOfRange}
	}
	return checkServerReports(m.ServerReports)
}

// checkServerReports returns an error of type *MessageError for reports that no daemon
// sends.
func checkServerReports(reports []serverstate.Report) error {
	if len(reports) > serverstate.MaxReports {
		return &MessageError{Field: fieldServerReports, Cause: errTooMany}
	}
	for i := range reports {
		if !reports[i].Valid() {
			return &MessageError{Field: fieldServerReports, Cause: errOutOfRange}
		}
	}
	return nil
}

// check returns the cause of a MessageError for a relayed daemon.
func (o *RelayedPeer) check() error {
	if a, err := netip.ParseAddr(o.IP); err != nil || !a.Is4() || a.IsUnspecified() {
		return errNotAnIP
	}
	if !isAge(o.AgeMS) || !inRange(o.InFlight) {
		return errOutOfRange
	}
	return nil
}

// inRange reports whether counts of requests in flight make sense.
func inRange(list []InFlight) bool {
	for _, w := range list {
		if w.Requests < 0 || w.Requests > maxRequests || w.Tokens < 0 || w.Tokens > maxTokens {
			return false
		}
	}
	return true
}

// isAge reports whether a number of milliseconds can be an age.
func isAge(ms int64) bool { return ms >= 0 && ms <= maxAge.Milliseconds() }

// agesInRange reports whether the ages in crash news can be converted. Slightly
// negative ones are left to quarantine.Table.Merge.
func agesInRange(n *quarantine.News) bool {
	for _, c := range n.Crashes {
		if !isAge(abs(c.AgeMS)) || !isAge(abs(c.RanMS)) {
			return false
		}
	}
	for _, b := range n.Bans {
		if !isAge(abs(b.AgeMS)) || !isAge(abs(b.SinceMS)) {
			return false
		}
	}
	for _, s := range n.Sound {
		if !isAge(abs(s.AgeMS)) {
			return false
		}
	}
	for _, c := range n.Completed {
		if !isAge(abs(c.AgeMS)) {
			return false
		}
	}
	return true
}

// abs returns the absolute value of a number, which is negative only for the lowest
// number of all.
func abs(v int64) int64 { return max(v, -v) }
