package main

import "encoding/json"

// plainConfiguration returns a version of the configuration with the two routes of the shop.
func plainConfiguration(version int) []byte {
	return configuration(version, []any{
		route("renewal", "/renew/", "non_idempotent", "trgovina", 1),
		route("delivery-check", "/check/", "idempotent", "trgovina", 2),
	})
}

func route(name, path, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Host": "box.example", "PathPrefix": path, "RouteType": kind, "TimeoutMs": 4000, "GoalMs": 300,
		"Priority": 1, "Service": service, "MaxAttempts": attempts, "Public": false, "Sticky": service == "zgodbar",
		"Resumable": false, "GapTargetMs": 300,
	}
}

// configuration returns a version of the configuration with the routes.
func configuration(version int, routes []any) []byte {
	body, err := json.Marshal(map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{
			map[string]any{"Name": "trgovina", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false},
			map[string]any{"Name": "zgodbar", "HealthPath": "/health", "MaxConns": 370, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
				"Slots": 64, "KvCapacity": 411823, "KvBytes": 35136, "LinkMbps": 180000, "Moves": true, "Backups": true, "Stride": 4,
				"most": 12, "PinMs": 4000, "HoldMs": 2000, "HandleS": 5, "Models": []any{map[string]any{"Name": "m"}},
			}},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{
			map[string]any{"Name": "hule930", "ApiKeys": []string{"secret"}, "Priority": 1},
			map[string]any{"Name": "fida11", "ApiKeys": []string{"other"}, "Priority": 1},
		},
	})
	if err != nil {
		panic(err)
	}
	return body
}
