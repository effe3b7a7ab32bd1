// Package order decides which engines are told to load or unload a version,
// and when. The goal of a move, load reports and the present time go in; orders
// and early reports of loads that will be late come out. The package opens no
// socket and reads no clock.
package order
