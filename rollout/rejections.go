package rollout

import "slices"

// rejections holds rejected versions, lowest first.
type rejections []Rejection

func compareRejection(r Rejection, v Version) int {
	return r.Version.Compare(v)
}

func (r *rejections) contains(v Version) bool {
	_, ok := slices.BinarySearchFunc(*r, v, compareRejection)
	return ok
}

// add inserts a rejection unless the version is present. It then drops the lowest versions
// until no more than limit remain.
func (r *rejections) add(rejection Rejection, limit int) {
	i, ok := slices.BinarySearchFunc(*r, rejection.Version, compareRejection)
	if ok {
		return
	}
	*r = slices.Insert(*r, i, rejection)
	*r = slices.Delete(*r, 0, max(0, len(*r)-limit))
}

// higherThan returns a copy of the rejections from v upwards. v itself is in force, so it is
// never among them.
func (r *rejections) higherThan(v Version) []Rejection {
	i, _ := slices.BinarySearchFunc(*r, v, compareRejection)
	return slices.Clone((*r)[i:])
}
