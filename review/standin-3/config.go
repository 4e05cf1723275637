package main

// route is a route of a configuration.
type route struct {
	prefix, service string
	repeats         bool // whether its requests may run more than once
	attempts        int
	timeout         float64
	public          bool
	kind            string // route_kind, by repeats if empty
}

// tenant is a tenant of a configuration.
type tenant struct {
	name, key   string
	rate, burst float64
}

const hostName = "jepu9.example"

// configuration returns a configuration as the on-call engineer writes it.
func configuration(version string, routes []route, tenants ...tenant) map[string]any {
	kinds := map[bool]string{true: "idempotent", false: "non_idempotent"}
	rules, services := []any{}, []any{}
	seen := make(map[string]bool)
	for _, r := range routes {
		kind := r.kind
		if kind == "" {
			kind = kinds[r.repeats]
		}
		rules = append(rules, map[string]any{
			"name": "r-" + r.service + "-" + kind + r.prefix, "route_kind": kind, "goal_s": 0.5, "priority": 1, "public": r.public,
			"match":        map[string]any{"path_prefix": r.prefix},
			"route_action": map[string]any{"service": r.service, "timeout_s": r.timeout, "max_attempts": r.attempts},
		})
		if !seen[r.service] {
			seen[r.service] = true
			services = append(services, map[string]any{"name": r.service, "health_path": "/health", "max_conns": 120})
		}
	}
	c := map[string]any{
		"version":   version,
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"listeners": []any{map[string]any{"hostname": hostName, "rule_set": rules}},
		"clusters":  services,
	}
	if len(tenants) > 0 {
		l := []any{}
		for _, t := range tenants {
			l = append(l, map[string]any{"name": t.name, "api_keys": []string{t.key}, "priority": 1, "rate_per_s": t.rate, "burst_size": t.burst})
		}
		c["tenants"] = l
	}
	return c
}
