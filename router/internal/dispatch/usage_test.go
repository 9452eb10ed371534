package dispatch

import (
	"testing"

	"github.com/matryer/is"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

func TestUsageIsReadOrCounted(t *testing.T) {
	is := is.New(t)
	p := &v1.Pool{InputWeight: 1, OutputWeight: 4}
	event := []byte(`{"choices":[{"delta":{"content":"a"}}]}`)

	counted := newUsage(40) // ten tokens of four bytes
	for range 3 {
		counted.observe(event)
	}
	is.Equal(counted.cost(p), uint32(10+3*4))

	reported := newUsage(40)
	reported.observe(event)
	reported.observe([]byte(`{"choices":[],"usage":{"prompt_tokens":7,"completion_tokens":5}}`))
	is.Equal(reported.cost(p), uint32(7+5*4))

	whole := newUsage(40)
	whole.observePlain([]byte(`{"choices":[{"message":{"content":"x"}}]}`))
	is.Equal(whole.cost(p), uint32(10+10*4)) // 41 bytes of answer
}
