// Package hop carries one request over one HTTP hop and its answer back.
//
// It streams both ways, keeps trailers, passes cancellation on and tells
// exactly how far the request came, since that decides what a caller may be
// told and whether another attempt is safe.
package hop
