package admission

// spread chooses among the servers at random: of those with free slots in proportion to
// these, and if there are none, the less loaded one of two.
func spread(servers []Server, random func() float64) int {
	total := 0
	for i := range servers {
		total += servers[i].free()
	}
	if total == 0 {
		a, b := pick(len(servers), random), pick(len(servers), random)
		if servers[b].load() < servers[a].load() {
			return b
		}
		return a
	}
	n := pick(total, random)
	for i := range servers {
		if n -= servers[i].free(); n < 0 {
			return i
		}
	}
	return len(servers) - 1 // not reached: n is less than the total
}

// pick returns a random number from 0 to n-1.
func pick(n int, random func() float64) int { return min(int(random()*float64(n)), n-1) }

// free returns the number of free slots; 1 if the server does not state its slots.
func (s *Server) free() int {
	if s.Slots <= 0 {
		return 1
	}
	return max(s.Slots-s.InFlight, 0)
}

// load returns the requests in flight for each slot.
func (s *Server) load() float64 { return float64(s.InFlight) / float64(max(s.Slots, 1)) }
