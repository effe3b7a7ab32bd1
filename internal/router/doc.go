// Package router decides, for one entry VM, when each generation request is
// admitted, which engine serves it and how it recovers from failures. It is a
// deterministic state machine: given the current time and an event, it returns
// the actions to take. It reads no clock, opens no socket and starts no
// goroutine, so the same seed and events always produce the same actions.
package router
