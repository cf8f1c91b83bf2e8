package daemon

import "time"

// Settings holds the settings that a daemon is started with. Addresses have the
// form host:port.
type Settings struct {
	Name        string
	IP          string
	Zone        string
	Frontend    string   // address for callers
	Readiness   string   // address for readiness checks
	Control     string   // address for requests from other daemons
	Directory   string   // address for callers that ask where to connect
	Exchange    string   // UDP address for datagrams between daemons
	Metrics     string   // address of the metrics; empty: not served
	Seeds       []string // control addresses of some daemons
	MemoryBytes int64    // memory available to the process; 0: no limit
	MaxFiles    int      // descriptors available to the process; 0: no limit
	Retry       RetryBudget
	KeyLease    time.Duration // how long API keys are accepted after the last confirmation; 0: no limit
	ConfigLag   time.Duration // within which a new configuration must be in force; 0: no limit
	Grace       time.Duration // between SIGTERM and SIGKILL
	// Overload is set if requests are delayed or refused by what they cost their callers
	// while capacity is insufficient.
	Overload bool
	// FirstStart is set if the whole fleet starts for the first time: no daemon
	// has any state to share, and all caches of backend servers are empty.
	FirstStart bool
	// ServerState is set if daemons exchange and use what they observe about the pace
	// and the refused connections of backend servers.
	ServerState bool
	// Limits on callers; 0: derived from MemoryBytes and MaxFiles.
	MaxConnections int   // open connections of the frontend
	MaxBodyMemory  int64 // bytes of request bodies
	MaxHeadMemory  int64 // bytes of request heads
}

// RetryBudget limits the retries of all daemons together.
type RetryBudget struct {
	Ratio  float64       // retries per request
	Slack  float64       // additional retries in each window
	Window time.Duration // period over which both are counted
}
