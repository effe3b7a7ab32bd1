// Package simkv is a simulated key-value store of the platform, served over
// HTTP: compare-and-swap by revision, prefix lists, long-poll watches, leases,
// rate limits, and faults that tests switch on. It keeps everything in memory.
//
// Calls and their answers in JSON, where value is base64 and times are in
// milliseconds:
//
//	GET    /kv/KEY                       key, value, revision, lease; 404 if absent
//	PUT    /kv/KEY                       revision; If-Match is required, 0 means
//	                                     absent; Lease binds the key to a lease
//	DELETE /kv/KEY                       revision; If-Match is required
//	GET    /kv?prefix=                   entries, revision
//	GET    /watch?prefix=&after=&wait=   events (an entry, or a key with gone),
//	                                     revision to go on after
//	POST   /leases                       id, ttl; the body has ttl
//	POST   /leases/ID/renew              id, ttl; 404 for an ended lease
//	DELETE /leases/ID                    404 for an ended lease
//
// 412 is a conflict, 404 on PUT an ended lease, 413 a value over 1 MB, 410 a
// watch after a compacted revision, 429 a call over the rate limit and 503 an
// outage, the last two with Retry-After. One revision counts the changes of all
// keys, so it also tells the order of changes of different keys.
//
// POST /fault switches a fault on; its body has op and, by op:
//
//	outage    time, mode "hang" for calls that wait instead of 503
//	slow      time, delay of each call
//	lose      count of writes that take effect without an answer
//	loss      rate from 0 to 1 of cut calls, seed
//	drop      count of events that watches omit
//	reorder   count of watch answers in the wrong order
//	compact   forget all events
//	expire    end all leases
//	clear     end all faults
//
// GET /stats answers with reads, writes, watches, refused and revision. No
// fault or rate limit applies to /fault and /stats.
package simkv
