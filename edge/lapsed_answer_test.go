package edge

import (
	"net/http"
	"testing"
)

// Guards against DRAIN, LIMIT and BUDGET: the registration of a target lapses while it answers, and the answer says that it leaves, or
// wants no requests for a time, or few. That was dropped, and the target got requests again once it was registered again.
func TestAnswerOfATargetWhoseRegistrationLapsedCounts(t *testing.T) {
	for name, answer := range map[string]string{
		"leaves":  "HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: yes\r\nT-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
		"limited": "HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: yes\r\nT-Limit: 0.01\r\nContent-Length: 0\r\n\r\n",
		"paused":  "HTTP/1.1 503 X\r\nT-Id: %ID\r\nT-Not-Run: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var f *fixture
			target := newTestTarget(t, "t1", nil)
			target.handle = func(s *receivedRequest) {
				f.edge.updateTargets([]TargetChange{{ID: target.id, Removed: true}}, false, 0)
				s.write(answer)
			}
			f = newFixture(t, target)
			_, _, err := f.client().call("POST", "/once/")
			f.is.NoErr(err)
			f.edge.updateTargets([]TargetChange{{ID: target.id, Target: target.registration()}}, false, 0)
			resp, _, err := f.client().call("POST", "/once/")
			f.is.NoErr(err)
			f.is.Equal(resp.Status, http.StatusServiceUnavailable)
			f.is.Equal(len(target.requests()), 1)

			// Its next start is bound by none of them.
			started := target.registration()
			started.StartedUnixMs++
			f.edge.updateTargets([]TargetChange{{ID: target.id, Target: started}}, false, 0)
			_, _, err = f.client().call("POST", "/once/")
			f.is.NoErr(err)
			f.is.Equal(len(target.requests()), 2)
		})
	}
}
