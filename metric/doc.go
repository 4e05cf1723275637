// Package metric records the metrics of a daemon with OpenTelemetry and serves
// them to Prometheus.
package metric
