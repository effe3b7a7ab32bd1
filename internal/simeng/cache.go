package simeng

import (
	"container/list"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the size of the prompt text in one cache block of 16 tokens.
const blockBytes = 16 * bytesPerToken

// historyMax is the number of cache events kept for GET /cache.
const historyMax = 4096

// cacheEvent is one change of the cache. GET /cache shows it from due on.
type cacheEvent struct {
	seq    uint64
	op     string
	prefix uint64
	due    time.Time
}

// cache is an LRU cache of prompt prefixes, identified by the hash of the prompt
// up to the end of each block.
type cache struct {
	blocks map[uint64]*list.Element
	// order lists the hashes, least recently used last.
	order *list.List
	// limit is the largest number of blocks.
	limit int
	lag   time.Duration
	// lossInterval n omits each n-th event, so that readers see gaps in seq.
	lossInterval uint64
	seq          uint64
	events       []cacheEvent
}

func newCache(limit int, lag time.Duration, lossInterval uint64) *cache {
	return &cache{
		blocks:       map[uint64]*list.Element{},
		order:        list.New(),
		limit:        limit,
		lag:          lag,
		lossInterval: lossInterval,
	}
}

// lookup returns how many leading tokens of the prompt are cached, and adds all
// complete blocks of the prompt to the cache.
func (c *cache) lookup(prompt string, now time.Time) int {
	found, leading := 0, true
	var d xxhash.Digest
	d.Reset()
	for at := 0; at+blockBytes <= len(prompt); at += blockBytes {
		_, _ = d.WriteString(prompt[at : at+blockBytes])
		hash := d.Sum64()
		if e, ok := c.blocks[hash]; ok {
			c.order.MoveToFront(e)
			if leading {
				found += blockBytes / bytesPerToken
			}
			continue
		}
		leading = false
		c.add(hash, now)
	}
	return found
}

// add caches a block and evicts the least recently used ones over the limit.
func (c *cache) add(hash uint64, now time.Time) {
	c.blocks[hash] = c.order.PushFront(hash)
	c.record("add", hash, now)
	for c.order.Len() > c.limit {
		last := c.order.Back()
		old := c.order.Remove(last).(uint64)
		delete(c.blocks, old)
		c.record("evict", old, now)
	}
}

// record appends an event, unless the event is one to lose.
func (c *cache) record(op string, hash uint64, now time.Time) {
	c.seq++
	if c.lossInterval > 0 && c.seq%c.lossInterval == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{
		seq:    c.seq,
		op:     op,
		prefix: hash,
		due:    now.Add(c.lag),
	})
	if len(c.events) > historyMax {
		c.events = c.events[len(c.events)-historyMax:]
	}
}

// after returns the events that are due and have a higher seq than the given
// one.
func (c *cache) after(seq uint64, now time.Time) []cacheEventBody {
	out := []cacheEventBody{}
	for _, e := range c.events {
		if e.seq > seq && !e.due.After(now) {
			out = append(out, cacheEventBody{
				Seq:    e.seq,
				Op:     e.op,
				Prefix: fmt.Sprintf("%016x", e.prefix),
			})
		}
	}
	return out
}
