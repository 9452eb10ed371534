package serve

import (
	"net/http"

	"github.com/uptrace/bunrouter"
)

// Handler turns an http.HandlerFunc into a handler of bunrouter that lets
// panics pass. bunrouter's own adapter recovers them, which would end an answer
// aborted with http.ErrAbortHandler as if it were whole.
func Handler(handler http.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, r bunrouter.Request) error {
		handler(w, r.Request)
		return nil
	}
}
