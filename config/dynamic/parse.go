package dynamic

import (
	"strconv"

	"cassialatch.dev/config/internal/document"
	"cassialatch.dev/config/problem"
)

// Base is a parsed base document, which all sites share.
type Base struct {
	Version    uint64 // as published, set by the reader
	Models     map[string]*Model
	Services   map[string]*Service
	Workspaces map[string]*Workspace
}

// Overlay is the parsed overlay document of one site. It overrides numbers and
// durations of the base and defines additional workspaces of the site.
type Overlay struct {
	Version            uint64 // as published, set by the reader
	Site               string // as in the document; may be empty
	file               string
	modelOverrides     []*override[Model]
	serviceOverrides   []*override[Service]
	workspaceOverrides []*override[Workspace]
	siteWorkspaces     []*siteWorkspace
}

// siteWorkspace is a workspace that is defined by an overlay. The lines are stored
// for problems that are found during a merge.
type siteWorkspace struct {
	*Workspace
	path         string
	line         int
	modelLines   []int
	serviceLines []int
}

// ParseBase parses a base document; name is the file name used in problems. Its
// error is a problem.Errors with all problems found.
func ParseBase(name string, text []byte) (*Base, error) {
	doc := document.Parse(name, text)
	b := &Base{}
	if !doc.HasSyntaxError() {
		b.read(doc.Root())
	}
	if err := doc.Finish(); err != nil {
		return nil, err
	}
	return b, nil
}

func (b *Base) read(root *document.Table) {
	b.Models = make(map[string]*Model)
	for _, t := range root.Subtables(modelSection.key) {
		b.Models[t.Name()] = modelSection.parseEntry(t)
	}
	b.Services = make(map[string]*Service)
	for _, t := range root.Subtables(serviceSection.key) {
		b.Services[t.Name()] = serviceSection.parseEntry(t)
		if b.Models[t.Name()] != nil {
			t.Report("", problem.Duplicate, "a name that no model has", strconv.Quote(t.Name()))
		}
	}
	b.Workspaces = make(map[string]*Workspace)
	for _, t := range root.Subtables(workspaceSection.key) {
		if !setsAccess(t) {
			t.Report(keyModels, problem.MissingKey, "models or services", "neither")
		}
		w := workspaceSection.parseEntry(t)
		b.Workspaces[w.Name] = w
		reportDangling(t, keyModels, w.Models, b.Models)
		reportDangling(t, keyServices, w.Services, b.Services)
	}
}

// setsAccess reports whether a workspace lists models or services that it may use.
func setsAccess(t *document.Table) bool { return t.Has(keyModels) || t.Has(keyServices) }

func reportDangling[T any](t *document.Table, key string, names []string, entries map[string]*T) {
	for i, name := range names {
		if entries[name] == nil {
			t.ReportItem(key, i, problem.DanglingReference, "one of "+key, strconv.Quote(name))
		}
	}
}

// ParseOverlay parses an overlay document; name is the file name used in
// problems. It does not check whether the entries fit a base, so that the
// validity of an overlay does not depend on another document; Check and Merge do
// that. Its error is a problem.Errors with all problems found.
func ParseOverlay(name string, text []byte) (*Overlay, error) {
	doc := document.Parse(name, text)
	o := &Overlay{file: name}
	if !doc.HasSyntaxError() {
		o.read(doc.Root())
	}
	if err := doc.Finish(); err != nil {
		return nil, err
	}
	return o, nil
}

func (o *Overlay) read(root *document.Table) {
	root.NameOf("site", &o.Site)
	for _, t := range root.Subtables(modelSection.key) {
		o.modelOverrides = append(o.modelOverrides, modelSection.parseOverride(t))
	}
	for _, t := range root.Subtables(serviceSection.key) {
		o.serviceOverrides = append(o.serviceOverrides, serviceSection.parseOverride(t))
	}
	for _, t := range root.Subtables(workspaceSection.key) {
		if setsAccess(t) {
			o.siteWorkspaces = append(o.siteWorkspaces, parseSiteWorkspace(t))
		} else {
			o.workspaceOverrides = append(o.workspaceOverrides, workspaceSection.parseOverride(t))
		}
	}
}

func parseSiteWorkspace(t *document.Table) *siteWorkspace {
	w := workspaceSection.parseEntry(t)
	return &siteWorkspace{
		Workspace:    w,
		path:         t.Path(""),
		line:         t.Line(""),
		modelLines:   itemLines(t, keyModels, w.Models),
		serviceLines: itemLines(t, keyServices, w.Services),
	}
}

func itemLines(t *document.Table, key string, items []string) []int {
	lines := make([]int, len(items))
	for i := range items {
		lines[i] = t.ItemLine(key, i)
	}
	return lines
}
