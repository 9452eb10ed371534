package config

import (
	"encoding/hex"
	"fmt"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

func (v *validator) workspaces() {
	v.notEmpty("workspaces", len(v.config.Workspaces))
	ids := v.uniqueIDs()
	owners := map[string]string{}
	for i, w := range v.config.Workspaces {
		field := fmt.Sprintf("workspaces[%d]", i)
		ids.check(field+".name", w.Name)
		inRange(v, field+".share", w.Share, MinShare, MaxShare)
		v.tokens(field+".token_sha256", w, owners)
		v.workspacePools(field, w)
		inRange(v, field+".max_queued_requests", w.MaxQueuedRequests, MinQueuedRequests, MaxQueuedRequests)
		inRange(v, field+".max_queued_bytes", w.MaxQueuedBytes, MinQueuedBytes, MaxQueuedBytes)
	}
}

// tokens checks the digests of w; owners maps digests to workspaces.
func (v *validator) tokens(field string, w *v1.Workspace, owners map[string]string) {
	v.notEmpty(field, len(w.TokenSha256))
	for i, digest := range w.TokenSha256 {
		path := fmt.Sprintf("%s[%d]", field, i)
		text := hex.EncodeToString(digest)
		if len(digest) != tokenDigestSizeBytes {
			v.fail(path, text, "a SHA-256 digest of 32 bytes")
			continue
		}
		if owner, taken := owners[text]; taken {
			v.fail(path, text, fmt.Sprintf("a digest that workspace %q does not have", owner))
			continue
		}
		owners[text] = w.Name
	}
}

func (v *validator) workspacePools(field string, w *v1.Workspace) {
	seen := map[string]bool{}
	for i, pool := range w.Pools {
		path := fmt.Sprintf("%s.pools[%d]", field, i)
		v.pool(path, pool)
		if seen[pool] {
			v.fail(path, pool, "a pool listed once")
		}
		seen[pool] = true
	}
	if w.DataCentre != "" && !v.dataCentres[w.DataCentre] {
		v.fail(field+".data_centre", w.DataCentre, "empty or the data centre of a zone")
		return
	}
	if !v.usesSomePool(w) {
		v.fail(field+".pools", fmt.Sprint(w.Pools), "at least one pool with a target that the workspace may use")
	}
}

// usesSomePool reports whether a pool of w has a target on a side of w.
func (v *validator) usesSomePool(w *v1.Workspace) bool {
	if len(w.Pools) > 0 {
		for _, pool := range w.Pools {
			if usable(v.sidesOfPool[pool], w.DataCentre) {
				return true
			}
		}
		return false
	}
	for _, sides := range v.sidesOfPool {
		if usable(sides, w.DataCentre) {
			return true
		}
	}
	return false
}

func usable(sides map[string]bool, dataCentre string) bool {
	if dataCentre == "" {
		return len(sides) > 0
	}
	return sides[dataCentre]
}

func (v *validator) classes() {
	names := v.uniqueNames()
	for i, class := range v.config.Classes {
		field := fmt.Sprintf("classes[%d]", i)
		names.check(field+".name", class.Name)
		inRange(v, field+".deadline_ms", class.DeadlineMs, MinDeadlineMillis, MaxDeadlineMillis)
		inRange(v, field+".total_ms", class.TotalMs, max(class.DeadlineMs, MinDeadlineMillis), MaxDeadlineMillis)
	}
}

// limits checks the limits; a limit of zero stands for the router's setting.
func (v *validator) limits() {
	l := v.config.Limits
	if l == nil {
		return
	}
	zeroOrInRange(v, "limits.max_body_bytes", l.MaxBodyBytes, MinBodyBytes, MaxBodyBytes)
	zeroOrInRange(v, "limits.max_bodies_bytes", l.MaxBodiesBytes, max(l.MaxBodyBytes, MinBodyBytes), MaxBodiesBytes)
	zeroOrInRange(v, "limits.max_concurrent_requests", l.MaxConcurrentRequests, 1, MaxConcurrentRequests)
	zeroOrInRange(v, "limits.first_byte_timeout_ms", l.FirstByteTimeoutMs, MinTimeoutMillis, MaxTimeoutMillis)
	zeroOrInRange(v, "limits.between_tokens_timeout_ms", l.BetweenTokensTimeoutMs, MinTimeoutMillis, MaxTimeoutMillis)
	inRange(v, "limits.retry_budget_percent", l.RetryBudgetPercent, 0, MaxRetryBudgetPercent)
}

// weightStore requires pacing as soon as a pool loads weights.
func (v *validator) weightStore() {
	store := v.config.WeightStore
	if store == nil && !v.loadsWeights() {
		return
	}
	inRange(v, "weight_store.max_concurrent_loads", store.GetMaxConcurrentLoads(), 1, MaxConcurrentLoads)
	inRange(v, "weight_store.bytes_per_second", store.GetBytesPerSecond(), MinStoreBytesPerSec, MaxStoreBytesPerSec)
}

func (v *validator) loadsWeights() bool {
	for _, pool := range v.config.Pools {
		if pool.Model.GetWeightBytes() > 0 {
			return true
		}
	}
	return false
}
