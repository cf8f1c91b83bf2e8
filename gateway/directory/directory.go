// Package directory answers callers that ask which addresses to use.
package directory

import (
	"net"
	"time"

	"cassialatch.dev/gateway/peers"
)

// maxAddresses bounds an answer.
const maxAddresses = 64

// ttl is how long callers may keep an answer.
const ttl = time.Second

// Endpoints tells which addresses to use, and for how long.
type Endpoints struct {
	Addresses []string
	TTL       time.Duration
}

// Directory knows the daemons that serve callers.
type Directory struct {
	Self  string // address for callers
	Ready func() bool
	Peers interface{ Alive() []peers.Peer }
}

// Endpoints returns the daemons that are ready and not leaving. A daemon that
// knows of none names itself, so that callers have somewhere to ask.
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
