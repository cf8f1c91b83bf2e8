package placement

// Source is a backend server from whose cache parts of a prompt can be
// fetched.
type Source struct {
	ID            string
	Zone          string
	MissingTokens int // tokens of the prompt's shared parts that are not in its cache
}

// minFetchTokens is the minimum number of tokens that are transferred between
// caches; for fewer a transfer does not pay off.
const minFetchTokens = 64

// ChooseSource sets Source and Fetchable for the source that has the most of
// the candidate's missing tokens, if one has at least minFetchTokens of them.
// Of equal sources, one in the candidate's zone is preferred.
func (c *Candidate) ChooseSource(sources []Source) {
	var best *Source
	least := c.MissingTokens - minFetchTokens
	for i := range sources {
		s := &sources[i]
		if s.ID == c.ID || s.MissingTokens > least {
			continue
		}
		if best == nil || s.MissingTokens < least || s.Zone == c.Zone && best.Zone != c.Zone {
			best, least = s, s.MissingTokens
		}
	}
	if best != nil {
		c.Source, c.FetchableTokens = best.ID, c.MissingTokens-best.MissingTokens
	}
}
