package configcheck

import (
	"fmt"
	"strings"

	"cassialatch.dev/gateway/route"
)

// checker checks one document.
type checker struct {
	doc      *Document
	bounds   Bounds
	findings []Finding
}

func (c *checker) add(s Severity, p Path, format string, args ...any) {
	c.addPair(s, p, nil, format, args...)
}

// addPair adds a finding about two fields.
func (c *checker) addPair(s Severity, p, other Path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Path: p, Other: other, Text: fmt.Sprintf(format, args...)})
}

// Check returns the mistakes in a document, in the order of its fields. inForce is the
// document that it is to replace; nil: none.
func Check(d, inForce *Document, b Bounds) []Finding {
	c := &checker{doc: d, bounds: b}
	if inForce != nil && d.Version <= inForce.Version {
		c.add(Error, Path{}.field(FieldVersion), "%d is not higher than %d, which is in force, so the gateway ignores the document", d.Version, inForce.Version)
	}
	if inForce != nil && len(inForce.Workspaces) > 0 && len(d.Workspaces) == 0 {
		c.add(Warning, Path{}.field(FieldWorkspaces), "no tenant is left, so no route requires an API key")
	}
	if d.Version < 1 {
		c.add(Warning, Path{}.field(FieldVersion), "is missing or below 1, so it replaces no other version")
	}
	c.checkNames(FieldRoutes, len(d.Routes), func(i int) string { return d.Routes[i].Name })
	for i := range d.Routes {
		c.checkRoute(Path{}.entry(FieldRoutes, i), &d.Routes[i])
	}
	c.checkMatching()
	c.checkNames(FieldServices, len(d.Services), func(i int) string { return d.Services[i].Name })
	c.checkServices()
	c.checkNames(FieldWorkspaces, len(d.Workspaces), func(i int) string { return d.Workspaces[i].Name })
	c.checkWorkspaces()
	c.checkLimits()
	return c.findings
}

// checkNames reports entries of a list that have no name, or that of another one.
func (c *checker) checkNames(list Field, n int, name func(i int) string) {
	first := make(map[string]Path, n)
	for i := range n {
		p := Path{}.entry(list, i).field(FieldName)
		if name(i) == "" {
			c.add(Error, p, "is missing")
			continue
		}
		if other, found := first[name(i)]; found {
			c.addPair(Error, p, other, "%q is already the name of another entry", name(i))
			continue
		}
		first[name(i)] = p
	}
}

func (c *checker) checkRoute(p Path, r *Route) {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.add(Error, p.field(FieldPrefix), "%q does not begin and end with a slash", r.Prefix)
	}
	c.checkPriority(p, r.Priority)
	c.checkTargets(p, r)
	if r.MaxAttempts < 0 {
		c.add(Error, p.field(FieldMaxAttempts), "%d is out of range", r.MaxAttempts)
	}
	if r.MaxAttempts > 1 && !r.Repeatable() {
		c.add(Warning, p.field(FieldMaxAttempts), "%d has no effect: requests of this route run at most once", r.MaxAttempts)
	}
	if r.Timeout == 0 {
		return
	}
	if r.LatencyGoal > r.Timeout {
		c.addPair(Warning, p.field(FieldLatencyGoal), p.field(FieldTimeout), "%v is above the timeout of %v", r.LatencyGoal, r.Timeout)
	}
	if r.GapTarget > r.Timeout {
		c.addPair(Warning, p.field(FieldGapTarget), p.field(FieldTimeout), "%v is above the timeout of %v", r.GapTarget, r.Timeout)
	}
}

func (c *checker) checkPriority(p Path, priority int) {
	if priority < 0 || priority > c.bounds.MaxPriority {
		c.add(Error, p.field(FieldPriority), "%d is not from 0 to %d", priority, c.bounds.MaxPriority)
	}
}

// checkTargets reports targets of a route that get no requests. A sole target gets all
// requests, whatever its weight.
func (c *checker) checkTargets(p Path, r *Route) {
	var total float64
	for _, t := range r.Targets {
		total += t.Weight
	}
	for i, t := range r.Targets {
		target := p
		if r.IsSplit {
			target = p.entry(FieldSplit, i)
		}
		if !c.hasService(t.Service) {
			c.add(Error, target.field(FieldTarget), "service %q is not in the document", t.Service)
		}
		switch {
		case t.Weight > 0:
		case len(r.Targets) == 1:
			c.add(Warning, target.field(FieldWeight), "is 0, but the only target gets all requests")
		case total > 0:
			c.add(Warning, target.field(FieldWeight), "is 0, so %q gets no requests of this route", t.Service)
		}
	}
	if len(r.Targets) > 1 && total <= 0 {
		c.add(Error, p.field(FieldSplit), "no target has a positive weight, so every request is refused")
	}
}

func (c *checker) hasService(name string) bool {
	for i := range c.doc.Services {
		if c.doc.Services[i].Name == name {
			return true
		}
	}
	return false
}

// checkMatching reports routes that no request matches. It asks the table that the
// gateway uses. Upper-case letters in a host are no mistake: the table ignores case.
func (c *checker) checkMatching() {
	config := &route.Config{Routes: make([]route.Route, len(c.doc.Routes))}
	index := make(map[*route.Route]int, len(c.doc.Routes))
	for i := range c.doc.Routes {
		config.Routes[i] = c.doc.Routes[i].Route
		index[&config.Routes[i]] = i
	}
	table := route.NewTable(config)
	for i := range config.Routes {
		r := &config.Routes[i]
		p := Path{}.entry(FieldRoutes, i)
		isIPv6 := strings.HasPrefix(r.Host, "[") && strings.HasSuffix(r.Host, "]")
		switch {
		case r.Host == "":
			c.add(Warning, p.field(FieldHost), "is missing, so only requests without a host match")
		case strings.Contains(r.Host, ":") && !isIPv6:
			c.add(Warning, p.field(FieldHost), "%q never matches: the port of a request is removed before its host is compared", r.Host)
		}
		const anyPort = ":80" // Match removes it
		if winner := table.Match(r.Host+anyPort, r.Prefix); winner != r {
			other := Path{}.entry(FieldRoutes, index[winner])
			c.addPair(Warning, p.field(FieldPrefix), other, "never matches: an earlier route has the host and the prefix")
		}
	}
}

func (c *checker) checkServices() {
	used := make(map[string]bool)
	for i := range c.doc.Routes {
		for _, t := range c.doc.Routes[i].Targets {
			used[t.Service] = true
		}
	}
	for i := range c.doc.Services {
		s := &c.doc.Services[i]
		p := Path{}.entry(FieldServices, i)
		if !used[s.Name] {
			c.add(Warning, p, "no route uses service %q", s.Name)
		}
		if needed := c.bounds.MinConns * c.bounds.Daemons; s.MaxConns > 0 && s.MaxConns < needed {
			c.add(Warning, p.field(FieldMaxConns), "%d is too low for %d daemons: each may open %d connections to a server in any case",
				s.MaxConns, c.bounds.Daemons, c.bounds.MinConns)
		}
		if s.ColdPerSecond > 0 && s.ColdStart == 0 {
			c.addPair(Warning, p.field(FieldColdRate), p.field(FieldColdStart), "has no effect without the time of a cold start")
		}
		if s.ColdStart > 0 && s.ColdPerSecond == 0 {
			c.addPair(Warning, p.field(FieldColdStart), p.field(FieldColdRate), "has no effect without the rate for cold servers")
		}
	}
}

func (c *checker) checkWorkspaces() {
	first := make(map[string]Path)
	for i := range c.doc.Workspaces {
		ws := &c.doc.Workspaces[i]
		p := Path{}.entry(FieldWorkspaces, i)
		if ws.HasPriority {
			c.checkPriority(p, ws.Priority)
		}
		if len(ws.Keys) == 0 {
			c.add(Warning, p.field(FieldKeys), "is empty, so no request belongs to %q", ws.Name)
		}
		for j, key := range ws.Keys {
			at := p.entry(FieldKeys, j)
			if key == "" {
				c.add(Error, at, "is empty, so requests without an API key would belong to %q", ws.Name)
				continue
			}
			if other, found := first[key]; found {
				c.addPair(Error, at, other, "API key %s is listed twice", KeyHash(key))
				continue
			}
			first[key] = at
		}
	}
}

func (c *checker) checkLimits() {
	l, b := &c.doc.Limits, &c.bounds
	limits := Path{}.field(FieldLimits)
	if l.BodyBytes == 0 {
		c.add(Warning, limits.field(FieldBodyBytes), "is 0 or missing, so the size of bodies is not limited")
	}
	if b.BodyMemory > 0 && l.BodyBytes > b.BodyMemory {
		c.add(Warning, limits.field(FieldBodyBytes), "%d is above the %d bytes that the bodies of all requests of a daemon may take", l.BodyBytes, b.BodyMemory)
	}
	if l.HeaderBytes > b.HeaderBytes {
		c.add(Warning, limits.field(FieldHeaderBytes), "%d is above the %d bytes that the gateway accepts", l.HeaderBytes, b.HeaderBytes)
	}
	header := limits.field(FieldHeaderTimeout)
	if l.HeaderTimeout == 0 {
		c.add(Warning, header, "is 0 or missing; the gateway waits %v", b.HeaderTimeout)
	}
	if l.HeaderTimeout > b.HeaderTimeout {
		c.add(Warning, header, "%v is above the %v that the gateway waits", l.HeaderTimeout, b.HeaderTimeout)
	}
	idle := limits.field(FieldIdleTimeout)
	if l.IdleTimeout == 0 {
		c.add(Warning, idle, "is 0 or missing, so idle connections of callers are never closed")
		return
	}
	if l.IdleTimeout < b.MinIdleTimeout {
		c.add(Warning, idle, "%v is below %v, so callers are not told when they must stop reusing a connection", l.IdleTimeout, b.MinIdleTimeout)
	}
	// A connection counts as idle until the header of a request is complete.
	if l.IdleTimeout < l.HeaderTimeout {
		c.addPair(Warning, idle, header, "%v ends connections on which a header may still arrive for %v", l.IdleTimeout, l.HeaderTimeout)
	}
}
