// Package poison recognises requests that crash the workers that run them.
//
// A request that was at a worker when it crashed is suspected, and so is whatever
// was beside it. It is suspected more each time that it was sent to a worker
// although it was suspected already, and that worker crashed too; two crashes of
// a fleet at one moment say no more than one. A whole answer clears it.
package poison
