// Command standin runs the review's scripted cases. It starts daemons of the
// project as processes and plays the platform's store, the workers and the clients
// beside them.
package main
