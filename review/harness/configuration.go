package main

import "encoding/json"

// key is the API key of the only organisation.
const key = "n2ctnfzs989anu6wsjnb"

// callerHost is the host of all routes.
const callerHost = "ficu95.example"

// route is an entry of the operator's configuration.
type route struct {
	Name        string
	Host        string
	PathPrefix  string
	RouteType   string
	TimeoutMs   int
	GoalMs      int
	Priority    int
	Service     string
	MaxAttempts int
	Public      bool
	Sticky      bool
	Resumable   bool
	GapTargetMs int
}

// Routes like those of the sheets.
var (
	lookup = route{Name: "r-lookup", PathPrefix: "/hugo494/", RouteType: "idempotent", TimeoutMs: 4000, GoalMs: 300, Priority: 2, Service: "ledger", MaxAttempts: 2}
	story  = route{Name: "r-story", PathPrefix: "/lohu930/", RouteType: "streaming", TimeoutMs: 10000, GoalMs: 2500, Priority: 2, Service: "engine", MaxAttempts: 2, Sticky: true, Resumable: true, GapTargetMs: 800}
	sale   = route{Name: "r-sale", PathPrefix: "/puxa403/", RouteType: "non_idempotent", TimeoutMs: 4000, GoalMs: 300, Priority: 2, Service: "ledger", MaxAttempts: 1}
)

// configuration returns the operator's configuration with the routes.
func configuration(version int, routes ...route) []byte {
	for i := range routes {
		routes[i].Host = callerHost
	}
	body, err := json.Marshal(map[string]any{
		"Version": version,
		"Routes":  routes,
		"Services": []any{
			map[string]any{"Name": "ledger", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false},
			map[string]any{"Name": "shop", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false},
			map[string]any{"Name": "engine", "HealthPath": "/health", "MaxConns": 370, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 64, "KvCapacity": 411823, "KvBytes": 35136, "LinkMbps": 180000.0, "Moves": true, "Backups": true, "Stride": 4, "most": 12,
				"PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0, "Models": []any{map[string]any{"Name": "m"}},
			}},
		},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{key}, "Priority": 1}},
	})
	if err != nil {
		panic(err)
	}
	return body
}
