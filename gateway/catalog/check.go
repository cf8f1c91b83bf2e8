package catalog

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
)

// ServerError is returned for a server that can't be used.
type ServerError struct {
	ID    string // of the server
	Field string // of Server
	Cause error
}

// Error implements error.
func (e *ServerError) Error() string {
	return fmt.Sprintf("catalog: server %q, %s: %v", e.ID, e.Field, e.Cause)
}

// Unwrap returns the cause.
func (e *ServerError) Unwrap() error { return e.Cause }

const (
	maxIDBytes = 200
	maxSlots   = 1 << 20
	// maxBorn is the last millisecond of the year 9999.
	maxBorn = 253402300799999
	// maxCold is more than 1000 days, in milliseconds.
	maxCold = 1 << 37
)

// Causes of a ServerError.
var (
	ErrEmpty      = errors.New("is empty")
	ErrNotAnID    = fmt.Errorf("is not 1 to %d visible ASCII characters", maxIDBytes)
	ErrNotAddress = errors.New("is not an IP address and a port from 1 to 65535")
	ErrOutOfRange = errors.New("is out of range")
)

// Check returns an error of type *ServerError if requests can't be sent to the
// server, whatever may answer at its address, or if one of its numbers makes no
// sense.
func (s *Server) Check() error {
	var field string
	var cause error
	switch {
	case !isID(s.ID):
		field, cause = "ID", ErrNotAnID
	case s.Service == "":
		field, cause = "Service", ErrEmpty
	case !isAddress(s.Address):
		field, cause = "Address", ErrNotAddress
	case s.Slots < 0 || s.Slots > maxSlots:
		field, cause = "Slots", ErrOutOfRange
	case s.Born < 0 || s.Born > maxBorn:
		field, cause = "Born", ErrOutOfRange
	case s.ColdRemaining < 0 || s.ColdRemaining > maxCold:
		field, cause = "ColdRemaining", ErrOutOfRange
	default:
		return nil
	}
	return &ServerError{ID: s.ID, Field: field, Cause: cause}
}

// isID reports whether an ID can be the value of a header.
func isID(id string) bool {
	notVisible := func(r rune) bool { return r <= ' ' || r > '~' }
	return id != "" && len(id) <= maxIDBytes && !strings.ContainsFunc(id, notVisible)
}

// isAddress reports whether an address is that of another VM or of this one, by IP.
func isAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast() && a.Addr().Zone() == ""
}
