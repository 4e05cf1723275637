// Package settings reads what one daemon has to know of itself: its name, its
// site, its addresses and where the platform is.
package settings
