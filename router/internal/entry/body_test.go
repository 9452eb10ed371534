package entry

import (
	"bytes"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const testLimit = 10_000

func TestBodyIsReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, firstBodyBytes, firstBodyBytes + 1, testLimit} {
		is := is.New(t)
		want := bytes.Repeat([]byte("x"), size)
		budget := &byteBudget{}
		b := &body{budget: budget, allLimit: testLimit}
		is.True(b.fill(iotest.OneByteReader(bytes.NewReader(want)), testLimit) == nil)
		is.True(bytes.Equal(b.data, want))
		is.True(budget.used() >= int64(cap(b.data))) // all of its memory counts
		b.release()
		is.Equal(budget.used(), int64(0))
	}
}

// A caller that announces much and sends little holds little memory; one that
// has sent a part gets the rest of its memory at once.
func TestAnnouncedLengthIsTrustedAfterAPart(t *testing.T) {
	is := is.New(t)
	b := &body{budget: &byteBudget{}, announced: testLimit, allLimit: testLimit}
	is.Equal(b.nextSize(testLimit), int64(firstBodyBytes))
	b.data = make([]byte, testLimit/trustedPart)
	is.Equal(b.nextSize(testLimit), int64(testLimit))
}

func TestBodyOverTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	b := &body{budget: &byteBudget{}, allLimit: 10 * testLimit}
	refusal := b.fill(bytes.NewReader(make([]byte, testLimit+1)), testLimit)
	is.Equal(refusal.Code, v1.Code_BODY_TOO_LARGE)
}

func TestBodiesOverTheBudgetAreRefused(t *testing.T) {
	is := is.New(t)
	budget := &byteBudget{}
	first := &body{budget: budget, allLimit: testLimit}
	is.True(first.fill(bytes.NewReader(make([]byte, testLimit)), testLimit) == nil)
	second := &body{budget: budget, allLimit: testLimit}
	refusal := second.fill(bytes.NewReader([]byte("x")), testLimit)
	is.Equal(refusal.Code, v1.Code_ROUTER_BUSY)
	is.True(refusal.RetryAfter > 0)
	second.release()
	first.release()
	is.Equal(budget.used(), int64(0))
}
