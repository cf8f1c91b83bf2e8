package placement

// Source is a backend server whose cache parts of a prompt can be fetched from.
type Source struct {
	ID      string
	Zone    string
	Missing int // tokens of the prompt's shared parts that its cache lacks
}

// minFetch is the least number of tokens worth a transfer between caches.
const minFetch = 64

// ChooseSource picks the source that has most of what the candidate lacks of the
// prompt, if any has enough. Of equal ones, one in the candidate's zone goes
// first.
func (c *Candidate) ChooseSource(sources []Source) {
	var best *Source
	least := c.Missing - minFetch
	for i := range sources {
		s := &sources[i]
		if s.ID == c.ID || s.Missing > least {
			continue
		}
		if best == nil || s.Missing < least || s.Zone == c.Zone && best.Zone != c.Zone {
			best, least = s, s.Missing
		}
	}
	if best != nil {
		c.Source, c.Fetchable = best.ID, c.Missing-best.Missing
	}
}
