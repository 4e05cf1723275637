// Package examples holds the base files and overlays of the two deployments
// that the demo runs.
package examples
