package engine

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the length of a prompt token in bytes.
	bytesPerToken = 4
	// blockTokens is the number of prompt tokens in a cache block.
	blockTokens = 16
	blockBytes  = blockTokens * bytesPerToken
)

// PromptTokens returns the number of tokens in a prompt, which the usage of the answer
// reports.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// prefixCache is an LRU cache of prompt blocks, as engines keep it for the KV state of
// prompt prefixes. The key of a block is the hash of the prompt from its start to the
// end of the block, so that a block is found only together with the same preceding text.
type prefixCache struct {
	maxBlocks int

	// mu guards the fields below.
	mu     sync.Mutex
	blocks map[uint64]*list.Element
	// recency holds the key of each block, the most recently used first.
	recency *list.List
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{
		maxBlocks: maxBlocks,
		blocks:    map[uint64]*list.Element{},
		recency:   list.New(),
	}
}

// add puts the full blocks of prompt into the cache and returns the number of prompt
// tokens that were cached before. It touches the last block first, so that the end of a
// prompt is evicted before its beginning.
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

// cachedBlocksLocked returns how many of the first hashes are in the cache without a
// gap. The caller holds mu.
func (c *prefixCache) cachedBlocksLocked(hashes []uint64) int {
	for i, hash := range hashes {
		if _, ok := c.blocks[hash]; !ok {
			return i
		}
	}
	return len(hashes)
}

// touchLocked adds the block or marks it as the most recently used one. The caller holds
// mu.
func (c *prefixCache) touchLocked(hash uint64) {
	if element, ok := c.blocks[hash]; ok {
		c.recency.MoveToFront(element)
		return
	}
	c.blocks[hash] = c.recency.PushFront(hash)
}

// evictLocked removes the least recently used blocks above maxBlocks. The caller holds
// mu.
func (c *prefixCache) evictLocked() {
	for c.recency.Len() > c.maxBlocks {
		oldest := c.recency.Back()
		delete(c.blocks, c.recency.Remove(oldest).(uint64))
	}
}

// prefixHashes returns, for each full block of prompt, the hash of prompt up to the end
// of the block.
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
