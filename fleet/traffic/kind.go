package traffic

// Kind is a kind of control traffic: of a connection, or of an item that is
// sent over one.
type Kind string

// Kinds of connections. Bytes are counted under these.
const (
	KindPeer     Kind = "peer"     // control connections between daemons
	KindPlatform Kind = "platform" // reads and watches of the platform
	KindReport   Kind = "report"   // load reports of backend servers
	KindProbe    Kind = "probe"    // probes of backend servers
)

// Kinds of items on peer connections. Bytes are counted under KindPeer.
const (
	KindQuarantine Kind = "quarantine" // requests that crash backend servers
	KindLease      Kind = "lease"      // claims, grants and releases of shares
	KindLoad       Kind = "load"       // a home's own load entries
	KindDocument   Kind = "document"   // configuration documents
	KindRelay      Kind = "relay"      // load entries of other homes, passed on
)

// never is the rank of items that never yield.
const never = 0

// rule tells how a kind competes for the budget. Ranks above never yield in
// turn: the highest yields first.
type rule struct {
	kind    Kind
	carrier Kind // the connection that carries the item
	rank    int
}

// rules are in the order of Snapshot. Quarantine and leases never yield: they
// hold the rules on crashes and load that cost most when broken. Relayed
// entries are hints about hints and go first. Probes go next, since real
// traffic probes too; then the platform, since peers pass documents on; then
// reports, which lag anyway.
var rules = []rule{
	{KindPeer, KindPeer, never},
	{KindQuarantine, KindPeer, never},
	{KindLease, KindPeer, never},
	{KindLoad, KindPeer, 1},
	{KindDocument, KindPeer, 2},
	{KindReport, KindReport, 3},
	{KindPlatform, KindPlatform, 4},
	{KindProbe, KindProbe, 5},
	{KindRelay, KindPeer, 6},
}

const highestRank = 6

// reserve returns the part of the burst that items of this rank leave to those
// that yield later: nothing for rank 1, three quarters for the highest rank.
func reserve(rank int, burst float64) float64 {
	const largest = 0.75
	return burst * largest * float64(rank-1) / (highestRank - 1)
}
