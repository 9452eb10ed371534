package serve

import (
	"net/http"

	"github.com/uptrace/bunrouter"
)

// Handler adapts an http.HandlerFunc to bunrouter without recovering panics. The adapter
// of bunrouter recovers them, so that an answer aborted with http.ErrAbortHandler would
// end as if it were complete.
func Handler(handler http.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		handler(w, r.Request)
		return nil
	}
}
