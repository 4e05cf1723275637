// Package settings reads and checks the settings of one daemon, such as its
// instance name, its site, its addresses and the URL of the platform.
package settings
