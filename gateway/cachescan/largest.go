package cachescan

import (
	"slices"

	"cassialatch.dev/gateway/call"
)

// largest keeps the largest of the parts that are added to it, since they are shared
// between requests and cost the most tokens to compute. It holds at most twice as many as it
// keeps, as listings of many servers arrive at once.
type largest struct {
	most  int // number of parts to keep
	added int
	parts []call.Part
}

func (l *largest) add(p call.Part) {
	l.added++
	l.parts = append(l.parts, p)
	if len(l.parts) > 2*l.most {
		l.parts = l.list()
	}
}

// list returns the parts that are kept, largest first.
func (l *largest) list() []call.Part {
	slices.SortStableFunc(l.parts, func(a, b call.Part) int { return b.Tokens - a.Tokens })
	return l.parts[:min(len(l.parts), l.most)]
}
