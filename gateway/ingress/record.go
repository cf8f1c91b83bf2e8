package ingress

import (
	"time"

	"cassialatch.dev/gateway/placement"
	"cassialatch.dev/gateway/warm"
)

// Outcome tells what became of a request.
type Outcome string

// Outcomes.
const (
	OutcomeAnswered   Outcome = "answered" // with a backend server's own answer, whole
	OutcomeNotRun     Outcome = "not_run"
	OutcomeUnknown    Outcome = "unknown" // it may have run
	OutcomeRefused    Outcome = "refused" // it can't be served, now or later
	OutcomeCallerLeft Outcome = "left"    // the caller closed its connection
)

// Reason tells why a request was not answered by a backend server, or why an
// attempt ended.
type Reason string

// Reasons.
const (
	ReasonNone             Reason = ""
	ReasonNoConfig         Reason = "no_configuration"
	ReasonBadHeader        Reason = "bad_header"
	ReasonNoRoute          Reason = "no_route"
	ReasonKeyLeaseExpired  Reason = "configuration_not_confirmed"
	ReasonUnknownKey       Reason = "unknown_key"
	ReasonBodyTooLarge     Reason = "body_too_large"
	ReasonBodyUnreadable   Reason = "body_broken"
	ReasonCrashesServers   Reason = "crashes_servers"
	ReasonDraining         Reason = "daemon_draining"
	ReasonNoServer         Reason = "no_server"
	ReasonRetryBudget      Reason = "retry_budget_spent"
	ReasonDeadline         Reason = "deadline"
	ReasonNotSent          Reason = "not_sent"
	ReasonServerRefused    Reason = "server_refused"
	ReasonMisdirected      Reason = "another_incarnation"
	ReasonConnectionBroken Reason = "connection_broken"
	ReasonServerSilent     Reason = "server_silent"
	ReasonResponseUnsigned Reason = "answer_unsigned"
	ReasonServerError      Reason = "server_error"
	ReasonCallerLeft       Reason = "caller_left"
)

// Attempt is one try at a backend server.
type Attempt struct {
	Server        string
	InFlight      int // requests on the server when it was chosen
	QueuedTokens  int // tokens of prompts that it was computing then
	SharedTokens  int // tokens of the prompt's shared parts
	MissingTokens int // tokens of the prompt's shared parts that it was thought to compute
	Cause         placement.Cause
	FetchedFrom   string // server whose cache has the missing tokens; empty: none
	Status        int
	Reason        Reason
	Detail        string // of a failure
	Duration      time.Duration
}

// Record is what is known of a request when it has ended.
type Record struct {
	Start         time.Time
	ID            string
	Host          string
	Path          string
	Route         string
	Workspace     string
	Service       string
	PromptKey     warm.PartKey  // last shared part of the prompt; 0: none
	ConfigVersion int64         // of the configuration
	StoreRevision int64         // of the store, that the decision rests on
	ConfirmedAge  time.Duration // of its last confirmation
	Attempts      []Attempt
	Outcome       Outcome
	Status        int
	Reason        Reason
	FirstByte     time.Duration // until the first byte of the answer was passed on
	Duration      time.Duration
	Writes        int // writes of a stream
	Resumptions   int // times a stream went on at another server
}

func (r *Record) end() {
	r.Duration = time.Since(r.Start)
	if r.Outcome == "" {
		r.Outcome = OutcomeRefused
	}
}
