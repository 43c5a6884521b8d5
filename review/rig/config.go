package main

import "time"

// jobConfig is a configuration with one route of orders, which may run once, with the given timeout.
func jobConfig(version int, timeout time.Duration, tenants []any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "jobs", "host": "desk.example", "pathPrefix": "/jobs/", "kind": "non_idempotent", "timeoutMs": timeout.Milliseconds(), "targetLatencyMs": timeout.Milliseconds() / 4,
			"priority": 2, "service": "desk", "maxAttempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	}
}
