package main

const host = "ficu95.example"

// engineSpec is the engine of a service, as the sheets have it.
func engineSpec(slots, memory int) map[string]any {
	return map[string]any{
		"slots": slots, "kv_capacity": memory, "kv_token_bytes": 163840, "link_mbps": 400000.0, "stride": 34, "models": []any{map[string]any{"name": "m"}},
		"step_ms": 1.31, "per_seq_ms": 0.000917, "context_per_k": 0.00213, "read_per_s": 154000.0, "pairs_per_m": 0.162, "chunk": 2048,
		"report_lag_ms": 200.0, "hop_ms": 0.1,
	}
}

type obj = map[string]any

// baseConfig is a configuration with a stream route, an unsafe and a safe one.
func baseConfig(version int) obj {
	return obj{
		"version": version,
		"routes": []obj{
			{"name": "r-read", "hostname": host, "path_prefix": "/read/", "route_type": "streaming", "timeout_ms": 10000, "slo_ms": 1500, "priority": 1,
				"service": "llm", "max_attempts": 2, "allow_anonymous": false, "session_affinity": true, "resumable": true, "gap_aim_ms": 600},
			{"name": "r-lodge", "hostname": host, "path_prefix": "/lodge/", "route_type": "unsafe", "timeout_ms": 10000, "slo_ms": 150, "priority": 2,
				"service": "desk", "max_attempts": 1, "allow_anonymous": false, "session_affinity": false},
			{"name": "r-status", "hostname": host, "path_prefix": "/status/", "route_type": "safe", "timeout_ms": 10000, "slo_ms": 150, "priority": 2,
				"service": "desk", "max_attempts": 2, "allow_anonymous": false, "session_affinity": false},
		},
		"services": []obj{
			{"name": "llm", "health_path": "/health", "max_conns": 274, "protocol": "h1", "tls": false, "engine": engineSpec(16, 405000)},
			{"name": "desk", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  obj{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []obj{{"name": "hule930", "api_keys": []string{"key-one", "key-two"}, "priority": 1}},
	}
}
