package dynamic

import (
	"strconv"

	"cassialatch.dev/config/internal/document"
	"cassialatch.dev/config/problem"
)

// Base is the document shared by all sites.
type Base struct {
	Version    uint64 // as published, set by the reader
	Models     map[string]*Model
	Services   map[string]*Service
	Workspaces map[string]*Workspace
}

// Overlay is one site's document: numbers and durations that differ from the
// base, and workspaces of its own.
type Overlay struct {
	Version    uint64 // as published, set by the reader
	Site       string // from the document, if it says so
	file       string
	models     []*override[Model]
	services   []*override[Service]
	workspaces []*override[Workspace]
	own        []*ownWorkspace
}

// ownWorkspace is a workspace that only an overlay's site has.
type ownWorkspace struct {
	*Workspace
	path         string
	line         int
	modelLines   []int
	serviceLines []int
}

// ParseBase reads a base document; name stands for the file in problems. A
// failure is a problem.Errors with every problem found.
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
		if !hasAccess(t) {
			t.Report(keyModels, problem.MissingKey, "models or services", "neither")
		}
		w := workspaceSection.parseEntry(t)
		b.Workspaces[w.Name] = w
		reportDangling(t, keyModels, w.Models, b.Models)
		reportDangling(t, keyServices, w.Services, b.Services)
	}
}

// hasAccess tells whether a workspace says what it may use.
func hasAccess(t *document.Table) bool { return t.Has(keyModels) || t.Has(keyServices) }

func reportDangling[T any](t *document.Table, key string, names []string, entries map[string]*T) {
	for i, name := range names {
		if entries[name] == nil {
			t.ReportItem(key, i, problem.DanglingReference, "one of "+key, strconv.Quote(name))
		}
	}
}

// ParseOverlay reads an overlay document; name stands for the file in
// problems. Whether its entries fit a base is for Check and Merge to find, so
// that a document's validity depends on itself alone. A failure is a
// problem.Errors with every problem found.
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
		o.models = append(o.models, modelSection.parseOverride(t))
	}
	for _, t := range root.Subtables(serviceSection.key) {
		o.services = append(o.services, serviceSection.parseOverride(t))
	}
	for _, t := range root.Subtables(workspaceSection.key) {
		if hasAccess(t) {
			o.own = append(o.own, parseOwn(t))
		} else {
			o.workspaces = append(o.workspaces, workspaceSection.parseOverride(t))
		}
	}
}

func parseOwn(t *document.Table) *ownWorkspace {
	w := workspaceSection.parseEntry(t)
	return &ownWorkspace{
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
