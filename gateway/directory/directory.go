// Package directory lists the daemons that callers can connect to. The list is
// computed from the current peers on each call; it is never empty.
package directory

import (
	"net"
	"time"

	"cassialatch.dev/gateway/peers"
)

// maxAddresses is the maximum number of addresses in one list.
const maxAddresses = 64

// ttl is how long callers may cache a list.
const ttl = time.Second

// Endpoints is a list of daemon addresses and the time for which callers may
// cache it.
type Endpoints struct {
	Addresses []string
	TTL       time.Duration
}

// Directory lists the daemons that serve callers. Its fields are set before
// use; it is safe for concurrent use if Ready and Peers are.
type Directory struct {
	Self  string                            // this daemon's host:port for callers
	Ready func() bool                       // whether this daemon accepts requests
	Peers interface{ Alive() []peers.Peer } // the other daemons
}

// Endpoints returns this daemon, if it is ready, and the peers that are ready
// and not leaving. All daemons are assumed to listen on the same port. If no
// daemon is ready, the list holds this daemon alone, so that callers always have
// an address for the next lookup.
func (d *Directory) Endpoints() Endpoints {
	_, port, err := net.SplitHostPort(d.Self)
	if err != nil {
		return Endpoints{Addresses: []string{d.Self}, TTL: ttl}
	}
	var addresses []string
	if d.Ready() {
		addresses = append(addresses, d.Self)
	}
	for _, p := range d.Peers.Alive() {
		if p.Ready && !p.Leaving && len(addresses) < maxAddresses {
			addresses = append(addresses, net.JoinHostPort(p.IP, port))
		}
	}
	if len(addresses) == 0 {
		addresses = append(addresses, d.Self)
	}
	return Endpoints{Addresses: addresses, TTL: ttl}
}
