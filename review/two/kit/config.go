package kit

// Config is the operator's configuration document.
type Config struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants"`
}

// Route is a route of the configuration.
type Route struct {
	Name          string `json:"name"`
	Host          string `json:"host"`
	PathPrefix    string `json:"pathPrefix"`
	Type          string `json:"type"`
	TimeoutMS     int    `json:"timeoutMs"`
	LatencyGoalMS int    `json:"latencyGoalMs"`
	Priority      int    `json:"priority"`
	Service       string `json:"service"`
	MaxAttempts   int    `json:"maxAttempts"`
	Public        bool   `json:"public"`
	Sticky        bool   `json:"sticky"`
	Resumable     bool   `json:"resumable"`
	GapTargetMS   int    `json:"gapTargetMs,omitempty"`
}

// Service is a service of the configuration.
type Service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	MaxConns   int    `json:"maxConns"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMS int `json:"headerTimeoutMs"`
	IdleTimeoutMS   int `json:"idleTimeoutMs"`
}

// Tenant is a customer with its keys.
type Tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
}

// Host is the host of all routes.
const Host = "ficu95.example"

// Names of the services.
const (
	Booking = "xano55b"
	Model   = "dele69a"
)

// Key is the API key of the only tenant of BaseConfig.
const Key = "n2ctnfzs989anu6wsjnb"

// TenantName is the tenant that has Key.
const TenantName = "hule930"

// BaseConfig is the first configuration: a safe, an unsafe and a streaming route, and
// one tenant.
func BaseConfig() Config {
	return Config{
		Version: 7,
		Routes: []Route{
			{Name: "r-book", Host: Host, PathPrefix: "/puxa403/", Type: "unsafe", TimeoutMS: 4000, LatencyGoalMS: 300, Priority: 2, Service: Booking, MaxAttempts: 1},
			{Name: "r-look", Host: Host, PathPrefix: "/cufi504/", Type: "safe", TimeoutMS: 4000, LatencyGoalMS: 300, Priority: 2, Service: Booking, MaxAttempts: 2},
			{Name: "r-text", Host: Host, PathPrefix: "/lohu930/", Type: "streaming", TimeoutMS: 12000, LatencyGoalMS: 800, Service: Model, MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMS: 400},
		},
		Services: []Service{
			{Name: Booking, HealthPath: "/healthz", MaxConns: 110, Protocol: "h1"},
			{Name: Model, HealthPath: "/healthz", MaxConns: 370, Protocol: "h1"},
		},
		Limits:  Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants: []Tenant{{Name: TenantName, APIKeys: []string{Key}, Priority: 1}},
	}
}
