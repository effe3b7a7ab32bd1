// Package simkv implements a simulation of the platform's key-value store,
// served over HTTP: compare-and-swap by revision, prefix lists, long-poll
// watches, leases, rate limits and injectable faults. All data is in memory.
//
// The calls, with the fields of their JSON answers; value is base64 and times are
// in milliseconds:
//
//	GET    /kv/KEY                       key, value, revision, lease; 404 if absent
//	PUT    /kv/KEY                       revision; If-Match is required, 0 means
//	                                     absent; the Lease header binds the key
//	                                     to a lease
//	DELETE /kv/KEY                       revision; If-Match is required
//	GET    /kv?prefix=                   entries, revision
//	GET    /watch?prefix=&after=&wait=   events (an entry, or a key with gone if
//	                                     deleted), revision to continue after
//	POST   /leases                       id, ttl; the body has ttl
//	POST   /leases/ID/renew              id, ttl; 404 for an ended lease
//	DELETE /leases/ID                    404 for an ended lease
//
// 412 means a conflict, 404 on PUT an ended lease, 413 a value over 1 MB, 410 a
// watch after a revision that is compacted or was not given out, 429 a call over
// the rate limit and 503 an outage, the last two with Retry-After. A single
// revision counter covers all keys, so that revisions also order the changes of
// different keys. The header field Era, in all these answers, counts the restorations
// of the store; after one, revisions and lease ids are given out again.
//
// POST /fault starts a fault; its body has op and, depending on op:
//
//	outage    time, mode "hang" for calls that hang instead of getting 503
//	slow      time, delay of each call
//	lose      count of writes that take effect but get no answer
//	loss      rate, from 0 to 1, of calls whose connection is cut, and seed
//	drop      count of events that watches omit
//	reorder   count of watch answers with events in the wrong order
//	compact   discards the event history
//	expire    ends all leases
//	restore   goes back to the state of the given time ago, at most 30 s
//	clear     ends all faults
//
// GET /stats answers with reads, writes, watches, refused and revision. /fault
// and /stats are exempt from faults and rate limits.
package simkv
