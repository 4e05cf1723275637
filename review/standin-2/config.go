package main

import (
	"encoding/json"
	"fmt"
)

const (
	host = "registry.example"

	kindIdempotent    = "idempotent"
	kindNonIdempotent = "non_idempotent"
)

// route is a route of the configuration.
type route struct {
	prefix, service, kind string
	timeout               float64 // in seconds
}

// configuration returns the configuration of that version in the form that the
// on-call engineer writes.
func configuration(version int, routes ...route) ([]byte, error) {
	var rules, clusters []any
	seen := make(map[string]bool)
	for i, r := range routes {
		rules = append(rules, map[string]any{
			"name": fmt.Sprintf("r-%d", i), "route_kind": r.kind, "goal_s": 0.5, "priority": 1,
			"match":        map[string]any{"path_prefix": r.prefix},
			"route_action": map[string]any{"service": r.service, "timeout_s": r.timeout, "max_attempts": 2},
		})
		if !seen[r.service] {
			seen[r.service] = true
			clusters = append(clusters, map[string]any{"name": r.service, "health_path": healthPath, "max_conns": 120, "protocol": "h1", "tls_mode": false})
		}
	}
	return json.Marshal(map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"listeners": []any{map[string]any{"hostname": host, "rule_set": rules}},
		"clusters":  clusters,
	})
}
