// Package edge runs an entry VM that forwards HTTP requests to upstreams. It
// starts one goroutine for each long-running task: the dispatcher that owns the
// decision core, the accept loop, the followers of the store, the watcher that
// applies their changes, and the mover that moves services between versions.
// Each attempt at an upstream has a goroutine of its own. The package also
// performs the graceful shutdown.
package edge
