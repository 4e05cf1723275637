// Package peer speaks to other daemons: it carries the head and membership
// news between them and counts what that costs.
package peer
