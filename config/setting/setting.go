// Package setting holds a daemon's static settings, read once at start from a
// TOML file.
package setting

import "time"

// TLSMode tells how peers and operators prove who they are.
type TLSMode string

// TLS modes.
const (
	TLSMutual TLSMode = "mutual" // both sides show a certificate of the CA
	TLSOff    TLSMode = "off"    // must be said explicitly; logged as a warning
)

// Settings are the static settings of one daemon.
type Settings struct {
	ID       string // VM id, as in the VM list
	Site     string
	Zone     string // availability zone
	Listen   Listen
	Platform Platform
	TLS      TLS
	Keys     []Key // the first one seals, all open
	Control  Control
	Limits   Limits
	Log      Log
}

// Listen names the daemon's own addresses, host:port by IP.
type Listen struct {
	Caller   string // HTTP for callers
	Peer     string // drpc for other daemons
	Operator string // HTTP for operators: status, metrics, drain
}

// Platform tells how the platform is read.
type Platform struct {
	Addresses []string      // host:port, tried in turn
	WatchWait time.Duration // how long one watch waits
	Timeout   time.Duration // for one read
}

// TLS names the files of mutual TLS, used on the peer and operator ports.
type TLS struct {
	Mode TLSMode
	CA   string
	Cert string
	Key  string
}

// Key seals and opens tickets and chat tokens.
type Key struct {
	ID     string
	Secret []byte // at least 32 bytes, base64 in the file
}

// Control bounds what the daemon spends on control traffic.
type Control struct {
	BytesPerSecond int           // over all control connections, both ways
	Heartbeat      time.Duration // between two heartbeats to a peer
	PeerTimeout    time.Duration // a peer not heard for this long is taken as dead
	LeaseDuration  time.Duration // of one lent share
	MaxPeers       int           // most peers that heartbeats go to
	Seeds          []string      // peer addresses tried while no VM list is known
}

// Limits bound what one caller may ask of the daemon.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	DrainTimeout   time.Duration // longest wait for requests in flight
	EntryTTL       time.Duration // how long callers may keep an entry answer
	TicketTTL      time.Duration
	MetricSeries   int // most workspaces with histograms of their own
}

// Log tells what is logged.
type Log struct {
	Level string // debug, info, warn or error
}
