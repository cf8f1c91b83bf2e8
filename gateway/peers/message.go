package peers

import (
	"github.com/cespare/xxhash/v2"

	"cassialatch.dev/gateway/cacheindex"
	"cassialatch.dev/gateway/quarantine"
	"cassialatch.dev/gateway/serverstate"
)

// Message is the content of a datagram. It is encoded as a CBOR array, so the order
// and types of its fields are part of the protocol. ServerReports is not in the array,
// whose length is fixed in earlier builds: it follows as a second CBOR item, which is
// left out if there are no reports.
type Message struct {
	_               struct{} `cbor:",toarray"`
	Reply           bool     // requests a message in return
	State           State
	Revision        int64  // of the published state
	Hash            uint64 // content hash of the published state
	AgeMS           int64  // age of the sender's last confirmation; -1: none
	InFlight        []InFlight
	CrashNews       quarantine.News
	CacheUpdates    []cacheindex.Entry
	Relayed         []RelayedPeer // some of the daemons that the sender counts as alive
	RelayedInFlight bool          // the relayed entries contain their in-flight requests

	ServerReports []serverstate.Report `cbor:"-"` // on backend servers; at most serverstate.MaxReports
}

// State is what a daemon reports about itself.
type State struct {
	_              struct{} `cbor:",toarray"`
	Ready          bool     // accepts requests from callers
	Leaving        bool     // is draining before it stops
	CachesKnown    bool     // has received or listed the contents of the servers' caches
	StoreReachable bool     // its last poll of the store succeeded
	Zone           ZoneTag
}

// ZoneTag is a 16-bit hash of the name of an availability zone.
type ZoneTag uint16

func zoneTag(zone string) ZoneTag { return ZoneTag(xxhash.Sum64String(zone)) }

// RelayedPeer is the latest state of a third daemon that the sender of a message
// has received, directly or relayed by another daemon.
type RelayedPeer struct {
	_        struct{} `cbor:",toarray"`
	IP       string
	AgeMS    int64 // since the daemon sent it
	State    State
	InFlight []InFlight
}

// InFlight counts the in-flight requests of a daemon at one backend server.
type InFlight struct {
	_        struct{} `cbor:",toarray"`
	Server   uint32   // tag of the server's incarnation
	Requests int
	Tokens   int // of prompts that the server is still computing
}
