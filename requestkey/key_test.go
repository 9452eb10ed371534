package requestkey

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "github.com/chiveseam/chiveseam/internal/fixedseed"
)

// TestParseIssuedRejectsBadInput checks texts that differ from the canonical form in one place. If
// they were accepted, one key would have several texts and could run once for each.
func TestParseIssuedRejectsBadInput(t *testing.T) {
	random := strings.Repeat("0a", RandomBytes)
	for _, text := range []string{
		"", "cs1.", "cs1....", "cs2.a.1.5." + random, "cs1..1.5." + random,
		"cs1.a.1.5." + random[2:], "cs1.a.1.5." + random + "00", "cs1.a.1.5." + strings.ToUpper(random),
		"cs1.a.01.5." + random, "cs1.a.+1.5." + random, "cs1.a.-1.5." + random, "cs1.a.1.05." + random,
		"cs1.a.18446744073709551616.5." + random, "cs1.a.1.9223372036854775808." + random,
		"cs1.a.1.5." + random + " ", " cs1.a.1.5." + random, "cs1.a.1.5." + random + ".",
		"cs1." + strings.Repeat("a", MaxKeyBytes) + ".1.5." + random, "cs1.a.1..5" + random,
	} {
		t.Run(text, func(t *testing.T) {
			_, err := ParseIssued(text)
			is.New(t).True(errors.Is(err, ErrMalformedKey))
		})
	}
}

// TestIssuedKeyRoundTrip checks that ParseIssued is the inverse of IssuedKey.String, also for
// router names with dots.
func TestIssuedKeyRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := IssuedKey{
			Router:      rapid.StringMatching(`[a-z][a-z0-9.-]{0,30}`).Draw(t, "router"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"),
			IssuedAt:    time.UnixMilli(rapid.Int64().Draw(t, "ms")),
		}
		copy(key.Random[:], rapid.SliceOfN(rapid.Byte(), RandomBytes, RandomBytes).Draw(t, "random"))
		parsed, err := ParseIssued(key.String())
		if err != nil || parsed != key {
			t.Fatalf("parsed %q as %+v: %v", key, parsed, err)
		}
	})
}

// TestCreatedAt checks that only a UUID of version 7 in its 36-character form proves an age.
func TestCreatedAt(t *testing.T) {
	is := is.New(t)
	created, ok := CreatedAt("01963d2a-7c00-7000-8000-000000000000")
	is.True(ok)
	is.Equal(created.UnixMilli(), int64(0x01963d2a7c00))
	for _, key := range []string{"", "order-17", "01963d2a-7c00-4000-8000-000000000000", "01963d2a7c0070008000000000000000", "{1963d2a-7c00-7000-8000-00000000000}"} {
		_, ok := CreatedAt(key)
		is.True(!ok)
	}
}
