package follow

import (
	"math/rand/v2"
	"slices"
	"strings"
)

const (
	// subsetMinVMs is the smallest number of VMs at which each follows only a
	// part of the registry. With 160 VMs behind a link of 60 Mbit/s between
	// regions, answers of 500 entries arrived 27 ms apart, so one answer to
	// each VM takes 4 s.
	subsetMinVMs = 150
	// subsetMinKeys is the smallest number of keys from which the distribution of
	// keys over shards can be judged.
	subsetMinKeys = 150
	// subsetMinShards is the smallest number of shards for which splitting the
	// registry is worthwhile.
	subsetMinShards = 8
	// subsetMinFill is the fraction of the average shard size that each shard must
	// reach. It rules out sequentially numbered keys, whose later keys would
	// be in none of the shards.
	subsetMinFill = 0.25
	// subsetInitialShards is the number of shards that a VM follows at first.
	subsetInitialShards = 2
	// subsetMinUpstreams is the number of upstreams of each service that a VM
	// should know: one to use, and two for retries when others fail.
	subsetMinUpstreams = 3
)

// Subset decides which part of a registry a VM follows when there are many VMs.
// The keys are divided into shards by the first character after their common
// prefix. Each VM follows some shards, chosen at random from its seed, and adds
// more until it knows enough upstreams of each service. A Subset is not safe for
// concurrent use.
type Subset struct {
	registry string
	random   *rand.Rand
	vms      int
	// services holds the service of each known key.
	services map[string]string
	// shards holds the prefixes of all shards in random order, or nil while the
	// VM follows the whole registry. The first followed shards are followed.
	shards   []string
	followed int
}

// NewSubset returns a subset of the keys with the prefix registry that follows
// the whole registry at first.
func NewSubset(registry string, seed uint64) *Subset {
	return &Subset{
		registry: registry,
		random:   rand.New(rand.NewPCG(seed, 0x73756273)),
		services: make(map[string]string),
	}
}

// Put records the service of a known key.
func (s *Subset) Put(key, service string) { s.services[key] = service }

// Drop removes a key from the known keys.
func (s *Subset) Drop(key string) { delete(s.services, key) }

// SetVMs sets the number of VMs.
func (s *Subset) SetVMs(n int) { s.vms = n }

// Shards returns the prefixes to follow, or nil for the whole registry.
func (s *Subset) Shards() []string { return s.shards[:s.followed] }

// Split reports whether the VM should follow only a part of the registry from
// now on. If so, it determines the shards and chooses those to follow.
func (s *Subset) Split() bool {
	if s.shards != nil || s.vms < subsetMinVMs || len(s.services) < subsetMinKeys {
		return false
	}
	counts := s.countByShard()
	if len(counts) < subsetMinShards {
		return false
	}
	var shards []string
	for prefix, n := range counts {
		if float64(n) < subsetMinFill*float64(len(s.services))/float64(len(counts)) {
			return false
		}
		shards = append(shards, prefix)
	}
	s.Adopt(shards)
	return true
}

// All returns the prefixes of all shards, sorted, or nil if the registry is not
// split.
func (s *Subset) All() []string { return slices.Sorted(slices.Values(s.shards)) }

// Adopt makes the VM follow some of the given shards, which another VM has
// determined.
func (s *Subset) Adopt(shards []string) {
	shards = slices.Sorted(slices.Values(shards))
	s.random.Shuffle(len(shards), func(i, j int) { shards[i], shards[j] = shards[j], shards[i] })
	s.shards, s.followed = shards, min(subsetInitialShards, len(shards))
}

// countByShard returns the number of known keys in each shard, by its prefix.
func (s *Subset) countByShard() map[string]int {
	common := ""
	first := true
	for key := range s.services {
		if first {
			common, first = key, false
		}
		for !strings.HasPrefix(key, common) {
			common = common[:len(common)-1]
		}
	}
	counts := make(map[string]int)
	for key := range s.services {
		// A key that equals the common prefix has no further character and is
		// a shard of its own.
		counts[key[:min(len(common)+1, len(key))]]++
	}
	return counts
}

// Follows reports whether the VM follows the key.
func (s *Subset) Follows(key string) bool {
	if s.shards == nil {
		return true
	}
	return slices.ContainsFunc(s.Shards(), func(shard string) bool { return strings.HasPrefix(key, shard) })
}

// Join reports whether the VM should follow the whole registry again, because it
// already follows all shards and there are no longer many VMs. If so, it ends
// the split, since later keys may be in none of the shards.
func (s *Subset) Join() bool {
	if s.shards == nil || s.followed < len(s.shards) || s.vms >= subsetMinVMs/2 {
		return false
	}
	s.shards, s.followed = nil, 0
	return true
}

// Grow adds a shard if the VM knows too few upstreams of one of the services, or
// if there are no longer many VMs. It returns the prefix of the new shard, or "".
// Call it only when all followed shards have been read.
func (s *Subset) Grow(services []string) string {
	if s.shards == nil || s.followed == len(s.shards) {
		return ""
	}
	if s.vms < subsetMinVMs/2 {
		s.followed++
		return s.shards[s.followed-1]
	}
	known := make(map[string]int)
	for _, service := range s.services {
		known[service]++
	}
	for _, service := range services {
		if known[service] < subsetMinUpstreams {
			s.followed++
			return s.shards[s.followed-1]
		}
	}
	return ""
}
