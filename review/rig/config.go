package main

// jobConfig is a configuration with one route of orders, which may run once.
func jobConfig(version int, tenants []any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "jobs", "host": "desk.example", "pathPrefix": "/jobs/", "kind": "non_idempotent", "timeoutMs": 1000, "targetLatencyMs": 100,
			"priority": 2, "service": "desk", "maxAttempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	}
}
