// Package order decides which engines are ordered to load or unload a version,
// and when. Its inputs are the goal of a move, load reports and the current time;
// its outputs are orders and early reports of goals that will be missed. The
// package does no I/O and reads no clock.
package order
