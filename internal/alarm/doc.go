// Package alarm implements a set of timers, one for each object, that an event
// loop polls. It neither starts goroutines nor reads the clock.
package alarm
