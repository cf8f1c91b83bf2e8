package catalog

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

const maxZoneBytes = 200

// ErrNotAZone is the cause of a ZoneError.
var ErrNotAZone = errors.New("is not 1 to 200 bytes of printable text")

// ZoneError is returned for a name that no availability zone has.
type ZoneError struct{ Zone string }

// Error implements error.
func (e *ZoneError) Error() string {
	return fmt.Sprintf("catalog: zone %.50q: %v", e.Zone, ErrNotAZone)
}

// Unwrap returns the cause.
func (e *ZoneError) Unwrap() error { return ErrNotAZone }

// CheckZone returns an error of type *ZoneError for a name that can't be that of an
// availability zone.
func CheckZone(zone string) error {
	notPrintable := func(r rune) bool { return !unicode.IsPrint(r) }
	if zone == "" || len(zone) > maxZoneBytes || !utf8.ValidString(zone) || strings.ContainsFunc(zone, notPrintable) {
		return &ZoneError{Zone: zone}
	}
	return nil
}

// UsableZones returns the names that CheckZone accepts, sorted and without repetitions,
// so that equal sets have the same content hash; nil if there are none. It passes the
// errors of the others to reject.
func UsableZones(zones []string, reject func(error)) []string {
	var usable []string
	for _, zone := range zones {
		if err := CheckZone(zone); err != nil {
			reject(err)
			continue
		}
		usable = append(usable, zone)
	}
	slices.Sort(usable)
	return slices.Compact(usable)
}
