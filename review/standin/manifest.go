package main

// Names that the manifest of all cases uses.
const (
	tenant      = "hule930"
	tenantKey   = "n2ctnfzs989anu6wsjnb"
	modelPool   = "huvo11a"
	streamPath  = "/pufi791/"
	streamRoute = "r-fi6y7z5"
	plainPool   = "wuno96b"
	plainPath   = "/cufi504/"
	plainRoute  = "r-2yhvz3p"
	plainSlots  = 6
)

// routeSpec is a route of the manifest.
type routeSpec struct {
	Name, Host, PathPrefix, RouteKind                   string
	TimeoutMs, GoalMs, Priority, MaxAttempts, GapGoalMs int
	Service                                             string
	Public, Sticky, Resumable                           bool
}

// serviceSpec is a service of the manifest.
type serviceSpec struct {
	Name, HealthPath string
	MaxConns         int
	Protocol         string
	Tls              bool        //nolint:revive // the manifest's spelling
	Engine           *engineSpec `json:",omitempty"`
}

// engineSpec says what the workers of a model service are.
type engineSpec struct {
	Slots, KvCapacity int
	KvBytes, LinkMbps float64
}

// putManifest writes the operator's first manifest.
func (ru *run) putManifest(routes []routeSpec, services []serviceSpec) {
	ru.sto.put(names.ConfigKey, map[string]any{
		"Version": 7, "Routes": routes, "Services": services,
		"Limits":  map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": tenant, "ApiKeys": []string{tenantKey}, "Priority": 1}},
	})
}

// engines is the model service.
func engines() serviceSpec {
	return serviceSpec{
		Name: modelPool, HealthPath: "/healthz", MaxConns: 360, Protocol: "h1",
		Engine: &engineSpec{Slots: workerSlots, KvCapacity: kvCapacity, KvBytes: 18432, LinkMbps: 370000},
	}
}

// plains is the service of plain answers.
func plains() serviceSpec {
	return serviceSpec{Name: plainPool, HealthPath: "/healthz", MaxConns: 96, Protocol: "h1"}
}
