package simeng

import (
	"container/list"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the prompt text of one cache block, 16 tokens.
const blockBytes = 16 * bytesPerToken

// historyMax is the number of cache events that are kept for readers.
const historyMax = 4096

// cacheEvent is one change of the cache, visible to readers from due on.
type cacheEvent struct {
	seq    uint64
	op     string
	prefix uint64
	due    time.Time
}

// cache holds the hashes of prompt prefixes in blocks, least recently used
// last.
type cache struct {
	blocks map[uint64]*list.Element
	order  *list.List
	// limit is the largest number of blocks.
	limit int
	lag   time.Duration
	// every loses each n-th event, so that readers see gaps in seq.
	every  uint64
	seq    uint64
	events []cacheEvent
}

func newCache(limit int, lag time.Duration, every uint64) *cache {
	return &cache{
		blocks: map[uint64]*list.Element{},
		order:  list.New(),
		limit:  limit,
		lag:    lag,
		every:  every,
	}
}

// use returns how many leading tokens of the prompt are cached, and caches all
// whole blocks of it.
func (c *cache) use(prompt string, now time.Time) int {
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

func (c *cache) add(hash uint64, now time.Time) {
	c.blocks[hash] = c.order.PushFront(hash)
	c.note("add", hash, now)
	for c.order.Len() > c.limit {
		last := c.order.Back()
		old := c.order.Remove(last).(uint64)
		delete(c.blocks, old)
		c.note("evict", old, now)
	}
}

func (c *cache) note(op string, hash uint64, now time.Time) {
	c.seq++
	if c.every > 0 && c.seq%c.every == 0 {
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

// after returns the visible events with a seq above the given one.
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
