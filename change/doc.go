// Package change decides the life of a change: proposed, staged, then
// accepted or refused by one conditional update of the head object.
//
// The head is the only thing that daemons must agree on. Every step is a pure
// function from one head to the next; whoever runs it writes the result under
// the condition that the head is still the one it was computed from, so a
// coordinator that was paused and overtaken writes nothing.
//
// Where others write the configuration there is nothing to decide; Poll then says
// which daemons read it, and when.
package change
