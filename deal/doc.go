// Package deal divides the slots of a pool between the shards of the pool.
package deal
