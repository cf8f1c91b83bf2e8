package daemon

import "time"

// Settings are what a daemon learns at its start.
type Settings struct {
	Name      string
	IP        string
	Zone      string
	Frontend  string   // address for callers
	Readiness string   // address for checks of readiness
	Control   string   // address for peers
	Directory string   // address for callers that ask where to connect
	Exchange  string   // UDP address for datagrams between daemons
	Metrics   string   // address of the metrics; empty: not served
	Seeds     []string // control addresses of some daemons
	Memory    int64    // bytes
	Retry     RetryBudget
	KeyLease  time.Duration // 0: API keys are accepted without end
	Grace     time.Duration // between SIGTERM and SIGKILL
	// FirstStart tells that the whole fleet starts for the first time: no daemon
	// knows anything, and no cache holds anything.
	FirstStart bool
}

// RetryBudget bound the retries of all daemons together.
type RetryBudget struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}
