// Package table holds the routing table of one configuration version: the
// routes by host and path prefix, the services behind them, the keys of
// workspaces and the limits on callers.
package table
