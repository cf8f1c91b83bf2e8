package dynamic

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"cassialatch.dev/config/internal/document"
	"cassialatch.dev/config/problem"
)

// Merge applies the overlay to the base and returns the result; either may be nil.
// Overlay entries that do not fit the base are ignored and listed in Inactive.
// The result therefore depends only on the two documents and not on the order in
// which they arrived.
func Merge(base *Base, overlay *Overlay) *Config {
	c, _ := merge(base, overlay)
	return c
}

// Check returns a problem for each overlay entry that Merge would ignore, with
// file, line and key. It is intended for tools that validate both documents
// before they are published; the overlay may be nil.
func Check(base *Base, overlay *Overlay) error {
	_, problems := merge(base, overlay)
	return problems.OrNil()
}

// merger holds the state of one merge.
type merger struct {
	config   *Config
	file     string
	problems problem.Errors
}

func merge(base *Base, overlay *Overlay) (*Config, problem.Errors) {
	if base == nil {
		base = &Base{}
	}
	m := &merger{config: &Config{
		BaseVersion: base.Version,
		Models:      cloneMap(base.Models),
		Services:    cloneMap(base.Services),
		Workspaces:  cloneMap(base.Workspaces),
	}}
	if overlay != nil {
		m.applyOverlay(base, overlay)
	}
	return m.config, m.problems
}

func cloneMap[T any](entries map[string]*T) map[string]*T {
	if entries == nil {
		return make(map[string]*T)
	}
	return maps.Clone(entries)
}

func (m *merger) applyOverlay(base *Base, overlay *Overlay) {
	m.file = overlay.file
	m.config.OverlayVersion = overlay.Version
	m.config.Site = overlay.Site
	for _, o := range overlay.modelOverrides {
		m.recordInactive(o.path, modelSection.merge(m.config.Models, o, m.file))
	}
	for _, o := range overlay.serviceOverrides {
		m.recordInactive(o.path, serviceSection.merge(m.config.Services, o, m.file))
	}
	for _, o := range overlay.workspaceOverrides {
		m.recordInactive(o.path, workspaceSection.merge(m.config.Workspaces, o, m.file))
	}
	for _, w := range overlay.siteWorkspaces {
		m.recordInactive(w.path, m.addSiteWorkspace(base, w))
	}
	slices.SortFunc(m.config.Inactive, func(a, b Inactive) int { return cmp.Compare(a.Key, b.Key) })
}

// recordInactive adds an overlay entry to the inactive ones if it has problems.
func (m *merger) recordInactive(path string, problems problem.Errors) {
	if len(problems) == 0 {
		return
	}
	reasons := make([]string, len(problems))
	for i, p := range problems {
		reasons[i] = fmt.Sprintf("%s: expected %s, got %s", p.Kind, p.Expected, p.Got)
	}
	m.config.Inactive = append(m.config.Inactive, Inactive{Key: path, Reason: strings.Join(reasons, "; ")})
	m.problems = append(m.problems, problems...)
}

func (m *merger) addSiteWorkspace(base *Base, w *siteWorkspace) problem.Errors {
	if base.Workspaces[w.Name] != nil {
		return problem.Errors{{
			File: m.file, Line: w.line, Key: w.path, Kind: problem.ForbiddenOverride,
			Expected: "no models or services, since the base has this workspace", Got: strconv.Quote(w.Name),
		}}
	}
	problems := danglingItems(w, keyModels, w.Models, w.modelLines, base.Models, m.file)
	problems = append(problems, danglingItems(w, keyServices, w.Services, w.serviceLines, base.Services, m.file)...)
	if len(problems) == 0 {
		m.config.Workspaces[w.Name] = w.Workspace
	}
	return problems
}

func danglingItems[T any](w *siteWorkspace, key string, names []string, lines []int, entries map[string]*T, file string) problem.Errors {
	var problems problem.Errors
	for i, name := range names {
		if entries[name] == nil {
			problems = append(problems, &problem.Error{
				File: file, Line: lines[i], Key: fmt.Sprintf("%s[%d]", document.JoinPath(w.path, key), i),
				Kind: problem.DanglingReference, Expected: "one of the base's " + key, Got: strconv.Quote(name),
			})
		}
	}
	return problems
}
