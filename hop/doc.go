// Package hop sends a request over one HTTP hop and forwards the response.
//
// Both bodies are streamed, trailers are kept and cancellation is propagated. The
// result of a hop says whether the request may have run, since that decides what a
// caller may be told and whether a retry is safe.
package hop
