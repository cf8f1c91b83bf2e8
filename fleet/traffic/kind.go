package traffic

// Kind classifies control traffic: either a type of connection, or a type of
// item that is sent over a connection.
type Kind string

// Kinds of connections. All bytes are counted under one of these.
const (
	KindPeer     Kind = "peer"     // control connections between daemons
	KindPlatform Kind = "platform" // reads and watches of the platform
	KindReport   Kind = "report"   // load reports that backend servers send
	KindProbe    Kind = "probe"    // health probes of backend servers
)

// Kinds of items on peer connections. Their bytes are counted under KindPeer.
const (
	KindQuarantine Kind = "quarantine" // fingerprints of requests that crash backend servers
	KindLease      Kind = "lease"      // claims, grants and releases of leases
	KindLoad       Kind = "load"       // load reports of a home on its own backend servers
	KindDocument   Kind = "document"   // configuration documents
	KindRelay      Kind = "relay"      // load reports of other homes, relayed
)

// rankNeverDeferred is the rank of items that are sent even if the budget is
// spent.
const rankNeverDeferred = 0

// kindPolicy defines how a kind competes for the budget. Kinds with a rank above
// rankNeverDeferred are deferred when the budget runs short, the highest rank
// first.
type kindPolicy struct {
	kind    Kind
	carrier Kind // kind of the connection that carries the item
	rank    int
}

// kindPolicies lists all kinds in the order of Snapshot.
//
// Quarantine and lease items are never deferred: they enforce the limits on
// crashes and load, whose violation costs most. Relayed load reports are
// deferred first, since they are second-hand estimates. Probes come next, since
// ordinary requests also show whether a backend server works; then platform
// reads, since documents also come from peers; then load reports, which lag behind
// the actual load anyway.
var kindPolicies = []kindPolicy{
	{KindPeer, KindPeer, rankNeverDeferred},
	{KindQuarantine, KindPeer, rankNeverDeferred},
	{KindLease, KindPeer, rankNeverDeferred},
	{KindLoad, KindPeer, 1},
	{KindDocument, KindPeer, 2},
	{KindReport, KindReport, 3},
	{KindPlatform, KindPlatform, 4},
	{KindProbe, KindProbe, 5},
	{KindRelay, KindPeer, 6},
}

const highestRank = 6

// reservedBytes returns the part of the burst, in bytes, that items of this rank
// leave to kinds that are deferred later: nothing for rank 1, three quarters for
// the highest rank.
func reservedBytes(rank int, burst float64) float64 {
	const maxFraction = 0.75
	return burst * maxFraction * float64(rank-1) / (highestRank - 1)
}
