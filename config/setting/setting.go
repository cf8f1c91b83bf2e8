// Package setting defines and parses the static settings of a daemon, which are
// read from a TOML file once at startup. Settings are safe for concurrent reads.
package setting

import "time"

// TLSMode selects how peers and operators are authenticated.
type TLSMode string

// TLS modes.
const (
	TLSMutual TLSMode = "mutual" // both sides present a certificate issued by the CA
	TLSOff    TLSMode = "off"    // must be set explicitly; logged as a warning
)

// Settings are the static settings of one daemon.
type Settings struct {
	ID       string // ID of the daemon's VM in the VM list
	Site     string
	Zone     string // availability zone
	Listen   Listen
	Platform Platform
	TLS      TLS
	Keys     []Key // the first key seals; all keys open
	Control  Control
	Limits   Limits
	Log      Log
}

// Listen holds the addresses that the daemon listens on, as IP address and port.
type Listen struct {
	Caller   string // HTTP for callers
	Peer     string // drpc for other daemons
	Operator string // HTTP for operators: status, metrics, drain
}

// Platform configures reads from the platform.
type Platform struct {
	Addresses []string      // host:port; one is used until a read fails, then the next
	WatchWait time.Duration // how long one watch request waits for a change
	Timeout   time.Duration // of one read request
}

// TLS holds the mode and the file names of mutual TLS on the peer and operator
// addresses.
type TLS struct {
	Mode TLSMode
	CA   string
	Cert string
	Key  string
}

// Key is a secret that seals and opens tickets and chat tokens.
type Key struct {
	ID     string
	Secret []byte // at least 32 bytes, base64 in the file
}

// Control configures the traffic between daemons and limits its volume.
type Control struct {
	BytesPerSecond int           // limit for all control connections, both directions together
	Heartbeat      time.Duration // interval between heartbeats to a peer
	PeerTimeout    time.Duration // a peer is considered down if no message from it is received for this long
	LeaseDuration  time.Duration // duration of the lease of one share
	MaxPeers       int           // maximum number of peers that heartbeats are sent to
	Seeds          []string      // peer addresses, host:port, to contact while no VM list is known
}

// Limits holds limits and timeouts of requests from callers.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	DrainTimeout   time.Duration // maximum wait for in-flight requests on shutdown
	EntryTTL       time.Duration // how long callers may cache the response to GET /v1/entry
	TicketTTL      time.Duration
	MetricSeries   int // maximum number of workspaces with separate histograms
}

// Log configures logging.
type Log struct {
	Level string // debug, info, warn or error
}
