package placement

// VersionHash returns the hash by which Demand and the routers name a version of targets. It is never 0.
func VersionHash(version string) uint32 { return max(Hash(version), 1) }

// hasVersion reports whether the target has the version with a hash; 0 stands for any.
func (t *target) hasVersion(hash uint32) bool { return hash == 0 || t.versionHash == hash }
