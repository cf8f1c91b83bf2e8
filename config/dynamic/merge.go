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

// Merge returns the configuration that base and overlay make together; the
// overlay may be nil. Overlay entries that do not fit the base are left out
// and listed in Inactive, so that each pair of valid documents has exactly one
// result, whichever of them arrived first.
func Merge(base *Base, overlay *Overlay) *Config {
	c, _ := merge(base, overlay)
	return c
}

// Check reports each overlay entry that Merge would leave out as an error with
// file, line and key. It is for tools that see both documents before they are
// published; the overlay may be nil.
func Check(base *Base, overlay *Overlay) error {
	_, problems := merge(base, overlay)
	return problems.OrNil()
}

// merger collects the result of one merge.
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
		m.add(base, overlay)
	}
	return m.config, m.problems
}

func cloneMap[T any](entries map[string]*T) map[string]*T {
	if entries == nil {
		return make(map[string]*T)
	}
	return maps.Clone(entries)
}

func (m *merger) add(base *Base, overlay *Overlay) {
	m.file = overlay.file
	m.config.OverlayVersion = overlay.Version
	m.config.Site = overlay.Site
	for _, o := range overlay.models {
		m.settle(o.path, modelSection.merge(m.config.Models, o, m.file))
	}
	for _, o := range overlay.services {
		m.settle(o.path, serviceSection.merge(m.config.Services, o, m.file))
	}
	for _, o := range overlay.workspaces {
		m.settle(o.path, workspaceSection.merge(m.config.Workspaces, o, m.file))
	}
	for _, w := range overlay.own {
		m.settle(w.path, m.addOwn(base, w))
	}
	slices.SortFunc(m.config.Inactive, func(a, b Inactive) int { return cmp.Compare(a.Key, b.Key) })
}

// settle records an entry with problems as inactive.
func (m *merger) settle(path string, problems problem.Errors) {
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

func (m *merger) addOwn(base *Base, w *ownWorkspace) problem.Errors {
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

func danglingItems[T any](w *ownWorkspace, key string, names []string, lines []int, entries map[string]*T, file string) problem.Errors {
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
