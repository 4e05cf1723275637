// Package change implements the life cycle of a change: it is proposed, staged,
// and then accepted or refused by one conditional update of the head object.
//
// The head is the only state that daemons must agree on. Every step is a pure
// function from one head to the next. The daemon that runs a step writes the
// result on condition that the head object is still the version that the step
// was computed from, so the write of a coordinator that was paused and
// overtaken fails.
//
// If the configuration is written and accepted by another system, there is
// nothing to decide: Poll then determines which daemons read it, and when.
package change
