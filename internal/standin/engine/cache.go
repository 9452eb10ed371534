package engine

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the length of a prompt token in bytes.
	bytesPerToken = 4
	// blockTokens is the number of prompt tokens in a block of the cache.
	blockTokens = 16
	blockBytes  = blockTokens * bytesPerToken
)

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// prefixCache holds the least recently used blocks of prompt prefixes. A block
// is known by the hash of the prompt up to its end.
type prefixCache struct {
	maxBlocks int

	mu     sync.Mutex
	blocks map[uint64]*list.Element
	// recency has the most recently used block in front.
	recency *list.List
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{
		maxBlocks: maxBlocks,
		blocks:    map[uint64]*list.Element{},
		recency:   list.New(),
	}
}

// add puts the whole blocks of prompt into the cache and returns the number of
// prompt tokens that were in it before.
func (c *prefixCache) add(prompt string) int {
	hashes := prefixHashes(prompt)
	c.mu.Lock()
	defer c.mu.Unlock()
	cachedBlocks := c.cachedBlocksLocked(hashes)
	for i := len(hashes) - 1; i >= 0; i-- {
		c.touchLocked(hashes[i])
	}
	c.evictLocked()
	return cachedBlocks * blockTokens
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks = map[uint64]*list.Element{}
	c.recency = list.New()
}

// cachedBlocksLocked returns the length of the known prefix in blocks.
func (c *prefixCache) cachedBlocksLocked(hashes []uint64) int {
	for i, hash := range hashes {
		if _, ok := c.blocks[hash]; !ok {
			return i
		}
	}
	return len(hashes)
}

func (c *prefixCache) touchLocked(hash uint64) {
	if element, ok := c.blocks[hash]; ok {
		c.recency.MoveToFront(element)
		return
	}
	c.blocks[hash] = c.recency.PushFront(hash)
}

func (c *prefixCache) evictLocked() {
	for c.recency.Len() > c.maxBlocks {
		oldest := c.recency.Back()
		delete(c.blocks, c.recency.Remove(oldest).(uint64))
	}
}

// prefixHashes returns the hash of the prompt up to the end of each block.
func prefixHashes(prompt string) []uint64 {
	digest := xxhash.New()
	var hashes []uint64
	for len(prompt) >= blockBytes {
		_, _ = digest.WriteString(prompt[:blockBytes])
		hashes = append(hashes, digest.Sum64())
		prompt = prompt[blockBytes:]
	}
	return hashes
}
