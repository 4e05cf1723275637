// Package peer is the protocol between daemons. It sends heads, contents and
// membership rumours between them and counts the bytes of that traffic.
package peer
