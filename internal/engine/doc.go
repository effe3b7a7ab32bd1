// Package engine is the adapter to model engines: it turns attempts into HTTP
// requests and the engines' event streams into events of the router.
package engine
