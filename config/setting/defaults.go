package setting

import "time"

// Defaults of the optional settings.
const (
	DefaultWatchWait       = 20 * time.Second
	DefaultPlatformTimeout = 2 * time.Second
	DefaultBytesPerSecond  = 19000
	DefaultHeartbeat       = 500 * time.Millisecond
	DefaultPeerTimeout     = 2 * time.Second
	DefaultLeaseDuration   = 3 * time.Second
	DefaultMaxPeers        = 16
	DefaultMaxBodyBytes    = 4 << 20
	DefaultMaxHeaderBytes  = 64 << 10
	DefaultHeaderTimeout   = 5 * time.Second
	DefaultBodyTimeout     = 30 * time.Second
	DefaultDrainTimeout    = 2 * time.Minute
	DefaultEntryTTL        = 10 * time.Second
	DefaultTicketTTL       = 5 * time.Minute
	DefaultMetricSeries    = 64
	DefaultLogLevel        = "info"
)

// MinSecretBytes is the minimum length of a key's secret after base64 decoding.
const MinSecretBytes = 32

// Ranges of the settings.
const (
	minDuration       = time.Millisecond
	maxDuration       = 24 * time.Hour
	minBytesPerSecond = 1 << 10
	maxBytesPerSecond = 1 << 30
	maxPeers          = 1 << 10
	minBodyBytes      = 1 << 10
	maxBodyBytes      = 1 << 30
	minHeaderBytes    = 1 << 10
	maxHeaderBytes    = 16 << 20
	maxMetricSeries   = 1 << 16
)

// newDefaultSettings returns settings with all defaults set and everything else
// empty.
func newDefaultSettings() *Settings {
	return &Settings{
		Platform: Platform{WatchWait: DefaultWatchWait, Timeout: DefaultPlatformTimeout},
		Control: Control{
			BytesPerSecond: DefaultBytesPerSecond,
			Heartbeat:      DefaultHeartbeat,
			PeerTimeout:    DefaultPeerTimeout,
			LeaseDuration:  DefaultLeaseDuration,
			MaxPeers:       DefaultMaxPeers,
		},
		Limits: Limits{
			MaxBodyBytes:   DefaultMaxBodyBytes,
			MaxHeaderBytes: DefaultMaxHeaderBytes,
			HeaderTimeout:  DefaultHeaderTimeout,
			BodyTimeout:    DefaultBodyTimeout,
			DrainTimeout:   DefaultDrainTimeout,
			EntryTTL:       DefaultEntryTTL,
			TicketTTL:      DefaultTicketTTL,
			MetricSeries:   DefaultMetricSeries,
		},
		Log: Log{Level: DefaultLogLevel},
	}
}
