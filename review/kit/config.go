package kit

// Names that all scripts use.
const (
	Host   = "ficu95.example"
	Key    = "n2ctnfzs989anu6wsjnb"
	Tenant = "hule930"
)

// Route is a route of the configuration.
type Route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Type        string `json:"type"`
	TimeoutMS   int    `json:"timeoutMs"`
	GoalMS      int    `json:"latencyGoalMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
	GapMS       int    `json:"gapTargetMs,omitempty"`
}

// Tenant describes a tenant of the configuration.
type TenantKeys struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
}

// PutConfig writes a version of the configuration with the routes, their services
// and one tenant.
func (s *Site) PutConfig(version int, routes ...Route) {
	services := []map[string]any{}
	known := make(map[string]bool)
	for _, r := range routes {
		if known[r.Service] {
			continue
		}
		known[r.Service] = true
		services = append(services, map[string]any{"name": r.Service, "healthPath": "/healthz", "maxConns": 370, "protocol": "h1", "tls": false})
	}
	s.Store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []TenantKeys{{Name: Tenant, APIKeys: []string{Key}}},
	})
}
