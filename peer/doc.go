// Package peer is the protocol between daemons. It sends heads, contents,
// membership news and suspected requests between them and counts the bytes of
// that traffic.
package peer
