// Package scenario generates load for cassialatch. It runs simulated users as
// described by a TOML file, verifies the responses and counts requests by result.
package scenario

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration with a text form such as "30s".
type Duration struct {
	time.Duration
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	d.Duration = parsed
	return err
}

// Scenario describes the load of one run.
type Scenario struct {
	Name     string         `toml:"name"`
	Seed     uint64         `toml:"seed"`
	Duration Duration       `toml:"duration"` // no chats and bookings start later
	Deadline Duration       `toml:"deadline"` // of one request
	Chats    []ChatGroup    `toml:"chats"`
	Bookings []BookingGroup `toml:"bookings"`
}

// ChatGroup describes chats with the same settings. Either Users or Rate is set:
// Users run one chat after another each, as a closed loop; with Rate, chats start at
// that rate, as an open loop.
type ChatGroup struct {
	Workspace string   `toml:"workspace"`
	Model     string   `toml:"model"`
	Class     string   `toml:"class"` // short, chat or long; empty: the default of the workspace
	Users     int      `toml:"users"`
	Rate      float64  `toml:"rate"` // chats started per second
	Turns     int      `toml:"turns"`
	ThinkTime Duration `toml:"think"` // mean pause between turns
	MaxTokens int      `toml:"max_tokens"`
	System    string   `toml:"system"` // system prompt of all chats of the group
	Openings  []string `toml:"openings"`
	FollowUps []string `toml:"follow_ups"`
}

// BookingGroup describes users that look up items, book them and, if Release is
// set, release them.
type BookingGroup struct {
	Workspace string   `toml:"workspace"`
	Service   string   `toml:"service"`
	Path      string   `toml:"path"`   // /bookings or /shipments
	Lookup    string   `toml:"lookup"` // path prefix of an item's name; empty: no lookups
	Release   bool     `toml:"release"`
	Users     int      `toml:"users"`
	ThinkTime Duration `toml:"think"`
	Items     []string `toml:"items"`
}

// InvalidError reports an invalid scenario.
type InvalidError struct {
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return "invalid scenario: " + e.Reason }

// Load reads and validates a scenario file. It rejects unknown keys.
func Load(file string) (Scenario, error) {
	var s Scenario
	f, err := os.Open(file)
	if err != nil {
		return s, errors.Wrap(err, "open scenario file")
	}
	defer f.Close()
	if err := toml.NewDecoder(f).DisallowUnknownFields().Decode(&s); err != nil {
		return s, errors.Wrapf(err, "parse scenario file %s", file)
	}
	return s, s.check()
}

func (s Scenario) check() error {
	if s.Duration.Duration <= 0 || s.Deadline.Duration <= 0 {
		return &InvalidError{Reason: "duration and deadline must be positive"}
	}
	for _, g := range s.Chats {
		switch {
		case len(g.Openings) == 0 || (g.Turns > 1 && len(g.FollowUps) == 0):
			return &InvalidError{Reason: "chats of " + g.Workspace + " lack openings or follow_ups"}
		case g.Turns < 1:
			return &InvalidError{Reason: "chats of " + g.Workspace + " need at least one turn"}
		case (g.Users > 0) == (g.Rate > 0):
			return &InvalidError{Reason: "chats of " + g.Workspace + " need either users or rate"}
		}
	}
	for _, g := range s.Bookings {
		if len(g.Items) == 0 || g.Users < 1 || g.Path == "" {
			return &InvalidError{Reason: "bookings of " + g.Workspace + " need users, path and items"}
		}
	}
	return nil
}
