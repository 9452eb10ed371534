package entry

import (
	"bytes"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const testLimit = 10_000

// Bodies of sizes at which the buffer grows must be read whole, and their memory
// must be counted in the budget and returned to it.
func TestBodyIsReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, initialBodyBytes, initialBodyBytes + 1, testLimit} {
		is := is.New(t)
		want := bytes.Repeat([]byte("x"), size)
		budget := &byteBudget{}
		b := &body{budget: budget, totalLimit: testLimit}
		is.True(b.readFrom(iotest.OneByteReader(bytes.NewReader(want)), testLimit) == nil)
		is.True(bytes.Equal(b.data, want))
		is.True(budget.reserved() >= int64(cap(b.data))) // the budget counts the whole buffer
		b.release()
		is.Equal(budget.reserved(), int64(0))
	}
}

// A caller that declares a large Content-Length and sends little must hold little
// memory. Once a fraction of the body has arrived, the buffer gets the declared
// length at once.
func TestDeclaredLengthIsAllocatedAfterPartArrives(t *testing.T) {
	is := is.New(t)
	b := &body{budget: &byteBudget{}, declared: testLimit, totalLimit: testLimit}
	is.Equal(b.nextCapacity(testLimit), int64(initialBodyBytes))
	b.data = make([]byte, testLimit/declaredTrustDivisor)
	is.Equal(b.nextCapacity(testLimit), int64(testLimit))
}

// A body without a declared length must be refused once it exceeds the limit.
func TestBodyOverTheLimitIsRefused(t *testing.T) {
	is := is.New(t)
	b := &body{budget: &byteBudget{}, totalLimit: 10 * testLimit}
	refusal := b.readFrom(bytes.NewReader(make([]byte, testLimit+1)), testLimit)
	is.Equal(refusal.Code, v1.Code_BODY_TOO_LARGE)
}

// Many bodies, each below its own limit, must not use up the memory together.
func TestBodiesOverTheBudgetAreRefused(t *testing.T) {
	is := is.New(t)
	budget := &byteBudget{}
	first := &body{budget: budget, totalLimit: testLimit}
	is.True(first.readFrom(bytes.NewReader(make([]byte, testLimit)), testLimit) == nil)
	second := &body{budget: budget, totalLimit: testLimit}
	refusal := second.readFrom(bytes.NewReader([]byte("x")), testLimit)
	is.Equal(refusal.Code, v1.Code_ROUTER_BUSY)
	is.True(refusal.RetryAfter > 0)
	second.release()
	first.release()
	is.Equal(budget.reserved(), int64(0))
}
