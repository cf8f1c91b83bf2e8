package dynamic

import (
	"fmt"
	"strings"
)

// Render returns the configuration as TOML in a stable order. The text is a valid
// base document with the same entries; versions, site and inactive entries are
// rendered as comments.
func Render(c *Config) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "# base version %d, overlay version %d\n", c.BaseVersion, c.OverlayVersion)
	if c.Site != "" {
		fmt.Fprintf(&b, "# site %s\n", c.Site)
	}
	for _, i := range c.Inactive {
		fmt.Fprintf(&b, "# inactive %s: %s\n", i.Key, i.Reason)
	}
	modelSection.render(&b, c.Models)
	serviceSection.render(&b, c.Services)
	workspaceSection.render(&b, c.Workspaces)
	return []byte(b.String())
}

// ChangeKind is the kind of a change to an entry or to one of its keys.
type ChangeKind string

// Kinds of changes.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	Kind ChangeKind `json:"kind"`
	Key  string     `json:"key"`           // path of the entry, or of the changed key in it
	Old  string     `json:"old,omitempty"` // value as TOML; set only for changed keys
	New  string     `json:"new,omitempty"`
}

// Diff returns the differences between two configurations in a stable order:
// models, services, workspaces, each ordered by name.
func Diff(old, new *Config) []Change {
	changes := modelSection.diff(old.Models, new.Models)
	changes = append(changes, serviceSection.diff(old.Services, new.Services)...)
	return append(changes, workspaceSection.diff(old.Workspaces, new.Workspaces)...)
}
