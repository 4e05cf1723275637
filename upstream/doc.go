// Package upstream speaks to the worker beside the daemon: it takes its
// announcements, keeps to its slots and passes calls to it.
package upstream
