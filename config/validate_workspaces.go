package config

import (
	"encoding/hex"
	"fmt"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

func (v *validator) workspaces() {
	v.notEmpty("workspaces", len(v.config.Workspaces))
	ids := v.uniqueIDs()
	workspaceByDigest := map[string]string{}
	for i, w := range v.config.Workspaces {
		field := fmt.Sprintf("workspaces[%d]", i)
		ids.check(field+".name", w.Name)
		inRange(v, field+".share", w.Share, MinShare, MaxShare)
		v.tokenDigests(field+".token_sha256", w, workspaceByDigest)
		v.workspacePools(field, w)
		inRange(v, field+".max_queued_requests", w.MaxQueuedRequests, MinQueuedRequests, MaxQueuedRequests)
		inRange(v, field+".max_queued_bytes", w.MaxQueuedBytes, MinQueuedBytes, MaxQueuedBytes)
	}
}

// tokenDigests checks the token digests of a workspace. A digest must be unique, since it
// identifies the workspace of a request. workspaceByDigest maps the digests seen so far, in
// hexadecimal, to the names of their workspaces.
func (v *validator) tokenDigests(field string, w *v1.Workspace, workspaceByDigest map[string]string) {
	v.notEmpty(field, len(w.TokenSha256))
	for i, digest := range w.TokenSha256 {
		path := fmt.Sprintf("%s[%d]", field, i)
		text := hex.EncodeToString(digest)
		if len(digest) != tokenDigestSizeBytes {
			v.addError(path, text, "a SHA-256 digest of 32 bytes")
			continue
		}
		if owner, taken := workspaceByDigest[text]; taken {
			v.addError(path, text, fmt.Sprintf("a digest that is not one of workspace %q", owner))
			continue
		}
		workspaceByDigest[text] = w.Name
	}
}

// workspacePools checks the pools and the data centre to which a workspace is restricted.
// Together they must leave at least one pool with a target that it may use.
func (v *validator) workspacePools(field string, w *v1.Workspace) {
	seen := map[string]bool{}
	for i, pool := range w.Pools {
		path := fmt.Sprintf("%s.pools[%d]", field, i)
		v.pool(path, pool)
		if seen[pool] {
			v.addError(path, pool, "a pool listed once")
		}
		seen[pool] = true
	}
	if w.DataCentre != "" && !v.dataCentres[w.DataCentre] {
		v.addError(field+".data_centre", w.DataCentre, "empty or the data centre of a zone")
		return
	}
	if !v.hasUsablePool(w) {
		v.addError(field+".pools", fmt.Sprint(w.Pools), "at least one pool with a target that the workspace may use")
	}
}

// hasUsablePool reports whether at least one pool that w may use has a target in w's data
// centre. A workspace that lists no pools may use all.
func (v *validator) hasUsablePool(w *v1.Workspace) bool {
	if len(w.Pools) > 0 {
		for _, pool := range w.Pools {
			if hasTargetsIn(v.poolDataCentres[pool], w.DataCentre) {
				return true
			}
		}
		return false
	}
	for _, targetDataCentres := range v.poolDataCentres {
		if hasTargetsIn(targetDataCentres, w.DataCentre) {
			return true
		}
	}
	return false
}

// hasTargetsIn reports whether a pool with targets in these data centres has one in dataCentre,
// or in any if dataCentre is empty.
func hasTargetsIn(targetDataCentres map[string]bool, dataCentre string) bool {
	if dataCentre == "" {
		return len(targetDataCentres) > 0
	}
	return targetDataCentres[dataCentre]
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

// limits checks the limits of the deployment. Except for the retry budget, a zero limit selects
// the router's own setting.
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

// weightStore checks the limits on loads from the weight store. They are required as soon as a
// pool loads weights, so that loads are always paced.
func (v *validator) weightStore() {
	store := v.config.WeightStore
	if store == nil && !v.loadsWeights() {
		return
	}
	inRange(v, "weight_store.max_concurrent_loads", store.GetMaxConcurrentLoads(), 1, MaxConcurrentLoads)
	inRange(v, "weight_store.bytes_per_second", store.GetBytesPerSecond(), MinStoreBytesPerSec, MaxStoreBytesPerSec)
}

// loadsWeights reports whether a pool has a model of known weight size.
func (v *validator) loadsWeights() bool {
	for _, pool := range v.config.Pools {
		if pool.Model.GetWeightBytes() > 0 {
			return true
		}
	}
	return false
}
