// Package metric counts what a daemon does, by OpenTelemetry with an endpoint
// for Prometheus.
package metric
