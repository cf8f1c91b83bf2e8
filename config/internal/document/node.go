package document

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"

	"cassialatch.dev/config/problem"
)

type kind string

const (
	kindTable      kind = "a table"
	kindTableArray kind = "an array of tables"
	kindArray      kind = "an array"
	kindString     kind = "a string"
	kindInteger    kind = "an integer"
	kindFloat      kind = "a number"
	kindBool       kind = "a boolean"
	kindTime       kind = "a date or time"
)

// origin is the kind of expression that defined a table. It determines which
// later expressions may add keys to the table.
type origin int

const (
	originPath   origin = iota // implicitly, as a part of the path in a header
	originHeader               // its own header
	originDotted               // dotted keys
	originInline
)

// node is a key or an array item and its value.
type node struct {
	name      string // last component of path
	path      string // dotted
	line      int
	kind      kind
	origin    origin // set for tables
	text      string // set for scalars: the value as text
	children  []*node
	index     map[string]*node
	items     []*node // set for arrays
	read      bool
	requested []string // set for tables: the keys that were looked up
}

func (n *node) child(name string) *node { return n.index[name] }

func (n *node) add(c *node) *node {
	if n.index == nil {
		n.index = make(map[string]*node)
	}
	n.index[c.name] = c
	n.children = append(n.children, c)
	return c
}

func newChild(parent *node, name string, line int, k kind) *node {
	return &node{name: name, path: JoinPath(parent.path, name), line: line, kind: k}
}

// JoinPath appends a key to a dotted path. It quotes the key if it is not a TOML
// bare key.
func JoinPath(path, name string) string {
	if !isBareKey(name) {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

func isBareKey(s string) bool {
	return s != "" && strings.IndexFunc(s, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_')
	}) < 0
}

type keyPart struct {
	name string
	line int
}

func (d *Document) keyParts(it unstable.Iterator) []keyPart {
	var parts []keyPart
	for it.Next() {
		k := it.Node()
		parts = append(parts, keyPart{name: string(k.Data), line: d.lineAt(int(k.Raw.Offset))})
	}
	return parts
}

func (d *Document) reportDuplicate(n *node, line int) {
	d.Report(line, n.path, problem.Duplicate, "one definition", "a second one; the first is on line "+strconv.Itoa(n.line))
}

// openParent returns the table that contains the last component of a header's
// path. It creates the missing tables of the path.
func (d *Document) openParent(parts []keyPart) *node {
	table := d.root
	for _, part := range parts[:len(parts)-1] {
		c := table.child(part.name)
		switch {
		case c == nil:
			table = table.add(newChild(table, part.name, part.line, kindTable))
		case c.kind == kindTableArray:
			table = c.items[len(c.items)-1]
		case c.kind == kindTable && c.origin != originInline:
			table = c
		default:
			d.reportDuplicate(c, part.line)
			table = newChild(table, part.name, part.line, kindTable)
		}
	}
	return table
}

func (d *Document) openTable(e *unstable.Node) *node {
	parts := d.keyParts(e.Key())
	parent, last := d.openParent(parts), parts[len(parts)-1]
	c := parent.child(last.name)
	switch {
	case c == nil:
		c = parent.add(newChild(parent, last.name, last.line, kindTable))
	case c.kind != kindTable:
		d.reportDuplicate(c, last.line)
		return newChild(parent, last.name, last.line, kindTable)
	case c.origin != originPath:
		d.reportDuplicate(c, last.line)
		return c
	}
	c.line = last.line
	c.origin = originHeader
	return c
}

func (d *Document) openArrayTable(e *unstable.Node) *node {
	parts := d.keyParts(e.Key())
	parent, last := d.openParent(parts), parts[len(parts)-1]
	array := parent.child(last.name)
	if array == nil {
		array = parent.add(newChild(parent, last.name, last.line, kindTableArray))
	}
	if array.kind != kindTableArray {
		d.reportDuplicate(array, last.line)
		return newChild(parent, last.name, last.line, kindTable)
	}
	return addItem(array, &node{line: last.line, kind: kindTable, origin: originHeader})
}

func addItem(array, item *node) *node {
	item.name = "[" + strconv.Itoa(len(array.items)) + "]"
	item.path = array.path + item.name
	array.items = append(array.items, item)
	return item
}

func (d *Document) addKeyValue(table *node, e *unstable.Node) {
	parts := d.keyParts(e.Key())
	for _, part := range parts[:len(parts)-1] {
		table = d.openDotted(table, part)
	}
	last := parts[len(parts)-1]
	if c := table.child(last.name); c != nil {
		d.reportDuplicate(c, last.line)
		return
	}
	c := table.add(newChild(table, last.name, last.line, kindTable))
	d.setValue(c, e.Value())
}

// openDotted returns the table that one component of a dotted key refers to. It
// creates the table if it is missing.
func (d *Document) openDotted(table *node, part keyPart) *node {
	c := table.child(part.name)
	if c != nil && c.kind == kindTable && c.origin == originDotted {
		return c
	}
	dotted := newChild(table, part.name, part.line, kindTable)
	dotted.origin = originDotted
	if c != nil {
		d.reportDuplicate(c, part.line)
		return dotted
	}
	return table.add(dotted)
}

// setValue sets the kind and value of n from a value of the TOML parser.
func (d *Document) setValue(n *node, value *unstable.Node) {
	n.text = string(value.Data)
	switch value.Kind {
	case unstable.String:
		n.kind = kindString
	case unstable.Integer:
		n.kind = kindInteger
	case unstable.Float:
		n.kind = kindFloat
	case unstable.Bool:
		n.kind = kindBool
	case unstable.Array:
		n.kind = kindArray
		d.setArray(n, value)
	case unstable.InlineTable:
		n.kind, n.origin, n.text = kindTable, originInline, ""
		d.setTable(n, value)
	default:
		n.kind = kindTime
	}
}

func (d *Document) setArray(n *node, value *unstable.Node) {
	n.text = ""
	it := value.Children()
	for it.Next() {
		v := it.Node()
		if v.Kind == unstable.Comment {
			continue
		}
		line := n.line
		if v.Raw.Length > 0 {
			line = d.lineAt(int(v.Raw.Offset))
		}
		d.setValue(addItem(n, &node{line: line}), v)
	}
}

func (d *Document) setTable(n *node, value *unstable.Node) {
	it := value.Children()
	for it.Next() {
		if it.Node().Kind == unstable.KeyValue {
			d.addKeyValue(n, it.Node())
		}
	}
}
