package dynamic

import (
	"fmt"
	"math"
	"time"

	"cassialatch.dev/config/internal/document"
)

// Defaults of the optional keys.
const (
	DefaultLoadFactor   = 1.25
	DefaultMinInFlight  = 2
	DefaultMaxInFlight  = 16
	DefaultShortReserve = 1
	DefaultQueueTimeout = 2 * time.Second
	DefaultDeadline     = 60 * time.Second
	DefaultRetryBudget  = 0.1
	DefaultHedgeBudget  = 0.03
	DefaultWeight       = 1
	DefaultClass        = ClassChat
)

// Ranges of the keys.
const (
	minDuration       = time.Millisecond
	maxDuration       = 24 * time.Hour
	maxLoadFactor     = 100
	maxInFlight       = 1 << 16
	maxPriority       = 1000
	maxRequestsPerSec = 1e6
	maxBurst          = 1e6
	maxWeight         = 1000
)

// inconsistency describes keys of one entry whose values contradict each other.
type inconsistency struct {
	keys     []string // the keys involved, in order of preference for the report
	expected string
	got      string
}

var modelSection = section[Model]{
	key:            "models",
	newDefault:     newDefaultModel,
	deriveDefaults: deriveModelDefaults,
	check:          checkModel,
	fields: []field[Model]{
		floatField("load_factor", func(m *Model) *float64 { return &m.LoadFactor }, 1, maxLoadFactor),
		intField("min_in_flight", func(m *Model) *int { return &m.MinInFlight }, 1, maxInFlight).allowOverride(),
		intField("max_in_flight", func(m *Model) *int { return &m.MaxInFlight }, 1, maxInFlight).allowOverride(),
		intField("short_reserve", func(m *Model) *int { return &m.ShortReserve }, 0, maxInFlight).allowOverride(),
		durationField("queue_timeout", func(m *Model) *time.Duration { return &m.QueueTimeout }, 0).allowOverride(),
		durationField("deadline", func(m *Model) *time.Duration { return &m.Deadline }, minDuration).allowOverride(),
		floatField("retry_budget", func(m *Model) *float64 { return &m.RetryBudget }, 0, 1).allowOverride(),
		floatField("hedge_budget", func(m *Model) *float64 { return &m.HedgeBudget }, 0, 1).allowOverride(),
		boolField("checks_fence", func(m *Model) *bool { return &m.ChecksFence }),
		namesField("adapters", func(m *Model) *[]string { return &m.Adapters }),
	},
}

func newDefaultModel(name string) *Model {
	return &Model{
		Name:         name,
		LoadFactor:   DefaultLoadFactor,
		MinInFlight:  DefaultMinInFlight,
		MaxInFlight:  DefaultMaxInFlight,
		ShortReserve: DefaultShortReserve,
		QueueTimeout: DefaultQueueTimeout,
		Deadline:     DefaultDeadline,
		RetryBudget:  DefaultRetryBudget,
		HedgeBudget:  DefaultHedgeBudget,
	}
}

// deriveModelDefaults lowers defaults that would exceed a small max_in_flight.
func deriveModelDefaults(t *document.Table, m *Model) {
	if !t.Has("min_in_flight") {
		m.MinInFlight = min(m.MinInFlight, m.MaxInFlight)
	}
	if !t.Has("short_reserve") {
		m.ShortReserve = min(m.ShortReserve, m.MaxInFlight-1)
	}
}

func checkModel(m *Model) []inconsistency {
	var inconsistencies []inconsistency
	if m.MinInFlight > m.MaxInFlight {
		inconsistencies = append(inconsistencies, inconsistency{
			keys:     []string{"min_in_flight", "max_in_flight"},
			expected: fmt.Sprintf("min_in_flight at most max_in_flight, %d", m.MaxInFlight),
			got:      fmt.Sprint(m.MinInFlight),
		})
	}
	if m.ShortReserve >= m.MaxInFlight {
		inconsistencies = append(inconsistencies, inconsistency{
			keys:     []string{"short_reserve", "max_in_flight"},
			expected: fmt.Sprintf("short_reserve below max_in_flight, %d", m.MaxInFlight),
			got:      fmt.Sprint(m.ShortReserve),
		})
	}
	return inconsistencies
}

var serviceSection = section[Service]{
	key:            "services",
	newDefault:     newDefaultService,
	deriveDefaults: func(*document.Table, *Service) {},
	check:          func(*Service) []inconsistency { return nil },
	fields: []field[Service]{
		intField("max_in_flight", func(s *Service) *int { return &s.MaxInFlight }, 1, maxInFlight).allowOverride(),
		durationField("queue_timeout", func(s *Service) *time.Duration { return &s.QueueTimeout }, 0).allowOverride(),
		durationField("deadline", func(s *Service) *time.Duration { return &s.Deadline }, minDuration).allowOverride(),
		boolField("checks_key", func(s *Service) *bool { return &s.ChecksKey }),
		boolField("checks_fence", func(s *Service) *bool { return &s.ChecksFence }),
		newField("rules", func(s *Service) *[]Rule { return &s.Rules }, readRules, formatRules),
	},
}

func newDefaultService(name string) *Service {
	return &Service{
		Name:         name,
		MaxInFlight:  DefaultMaxInFlight,
		QueueTimeout: DefaultQueueTimeout,
		Deadline:     DefaultDeadline,
	}
}

var workspaceSection = section[Workspace]{
	key: "workspaces",
	newDefault: func(name string) *Workspace {
		return &Workspace{Name: name, Class: DefaultClass, Weight: DefaultWeight}
	},
	deriveDefaults: deriveWorkspaceDefaults,
	check:          checkWorkspace,
	fields: []field[Workspace]{
		namesField(keyModels, func(w *Workspace) *[]string { return &w.Models }),
		namesField(keyServices, func(w *Workspace) *[]string { return &w.Services }),
		classField("class", func(w *Workspace) *Class { return &w.Class }),
		intField("priority", func(w *Workspace) *int { return &w.Priority }, -maxPriority, maxPriority).allowOverride(),
		floatField("requests_per_sec", func(w *Workspace) *float64 { return &w.RequestsPerSec }, 0, maxRequestsPerSec).allowOverride(),
		intField("burst", func(w *Workspace) *int { return &w.Burst }, 0, maxBurst).allowOverride(),
		intField("max_in_flight", func(w *Workspace) *int { return &w.MaxInFlight }, 0, maxInFlight).allowOverride(),
		intField("weight", func(w *Workspace) *int { return &w.Weight }, 1, maxWeight).allowOverride(),
		durationField("deadline", func(w *Workspace) *time.Duration { return &w.Deadline }, 0).allowOverride(),
	},
}

// Keys of a workspace that reference other entries.
const (
	keyModels   = "models"
	keyServices = "services"
)

// deriveWorkspaceDefaults sets the default burst of a rate limit to the number of
// requests allowed per second, rounded up.
func deriveWorkspaceDefaults(t *document.Table, w *Workspace) {
	if !t.Has("burst") {
		w.Burst = int(math.Ceil(w.RequestsPerSec))
	}
}

func checkWorkspace(w *Workspace) []inconsistency {
	if w.RequestsPerSec == 0 || w.Burst > 0 {
		return nil
	}
	return []inconsistency{{
		keys:     []string{"burst", "requests_per_sec"},
		expected: "burst of at least 1 with requests_per_sec",
		got:      fmt.Sprint(w.Burst),
	}}
}
