package dispatch

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/chiveseam/chiveseam/pool"
)

const (
	streamIDHeader    = "X-Stream-Id"
	lastEventIDHeader = "Last-Event-ID"
	resumePath        = "/v1/streams/"
	// maxResumes bounds how often one stream is resumed.
	maxResumes = 3
	// resumeDelay is the time before a stream is resumed on a new connection.
	resumeDelay = 50 * time.Millisecond
)

// stream relays the events of one answer, resuming it on a new connection
// where the target can.
type stream struct {
	attempt *attempt
	sink    Sink
	id      string
	lastID  string
	resumes int
}

// relay passes events to the sink until the stream's end.
func (s *stream) relay(ctx context.Context, resp *http.Response, dog *watchdog) error {
	s.id = resp.Header.Get(streamIDHeader)
	if err := s.sink.Head(resp.StatusCode, resp.Header, nil); err != nil {
		resp.Body.Close()
		return errCallerGone
	}
	for {
		err := s.relayConnection(resp, dog)
		resp.Body.Close()
		if err == nil || errors.Is(err, errCallerGone) || !s.mayResume() {
			return err
		}
		resp, dog, err = s.resume(ctx, err)
		if err != nil {
			return err
		}
	}
}

// relayConnection passes the events of one connection on.
func (s *stream) relayConnection(resp *http.Response, dog *watchdog) error {
	defer dog.stop()
	events := newEventReader(resp.Body)
	for {
		ev, err := events.next()
		dog.stop()
		if err != nil {
			return truncated(err)
		}
		s.attempt.answerBegins()
		done := bytes.Equal(ev.data, streamEnd)
		if done {
			s.attempt.req.beforeEnd(s.attempt.served(resp).result, ev.raw)
		} else {
			s.attempt.observe(ev.data)
		}
		if err := s.sink.Data(ev.raw); err != nil {
			return errCallerGone
		}
		if done {
			return nil
		}
		if ev.id != "" {
			s.lastID = ev.id
		}
		dog.reset()
	}
}

func (s *stream) mayResume() bool {
	return s.attempt.target.Resumes && s.id != "" && s.lastID != "" && s.resumes < maxResumes
}

// resume continues the stream after the last event that was passed on.
func (s *stream) resume(ctx context.Context, cause error) (*http.Response, *watchdog, error) {
	for s.resumes < maxResumes {
		s.resumes++
		if err := sleep(ctx, resumeDelay); err != nil {
			return nil, nil, truncated(err)
		}
		resp, dog, err := s.resumeOnce(ctx)
		if err == nil {
			return resp, dog, nil
		}
		cause = err
	}
	// The cause is not wrapped: that a resume was not sent proves nothing about
	// the request.
	return nil, nil, fmt.Errorf("%w: resume failed: %v", errTruncated, cause)
}

func (s *stream) resumeOnce(ctx context.Context) (*http.Response, *watchdog, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	dog := newWatchdog(cancel, s.attempt.d.limits(s.attempt.req.Config).firstByte)
	req := &Request{
		Config:    s.attempt.req.Config,
		Method:    http.MethodGet,
		TargetURI: resumePath + url.PathEscape(s.id),
		Header:    http.Header{lastEventIDHeader: []string{s.lastID}},
	}
	resp, err := s.attempt.d.transports.roundTrip(ctx, s.attempt.target, req)
	if err != nil {
		dog.stop()
		cancel(err)
		return nil, nil, err
	}
	if resp.StatusCode != http.StatusOK || !isEventStream(resp.Header) {
		dog.stop()
		resp.Body.Close()
		cancel(errTruncated)
		return nil, nil, fmt.Errorf("target answered %s to a resume", resp.Status)
	}
	resp.Body = &cancelOnClose{ReadCloser: resp.Body, cancel: cancel}
	dog.setLimit(s.attempt.d.limits(s.attempt.req.Config).betweenTokens)
	return resp, dog, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// observe counts one event and reports the cost when it has grown enough.
func (a *attempt) observe(data []byte) {
	a.usage.observe(data)
	a.reportProgress()
}

// predicted returns what the scheduler charges without a report. The estimate
// for a slot that was handed out ahead is about the mean that the router has
// seen.
func (a *attempt) predicted() pool.Prediction {
	prediction := a.grant.Prediction
	if prediction.Estimate == 0 {
		prediction.Estimate = int64(a.d.expectedCost(a.req))
	}
	return prediction
}

// reportProgress sends the cost when it differs from what is charged, and now
// and then as a sign that the request is still served.
func (a *attempt) reportProgress() {
	now := time.Now()
	elapsed := now.Sub(a.started)
	cost := a.usage.cost(a.req.Pool)
	if !a.prediction.ReportDue(elapsed, int64(cost)) && now.Sub(a.reported) < signInterval {
		return
	}
	a.grant.Progress(cost)
	a.prediction.Observe(elapsed, int64(cost))
	a.reported = now
}

// signInterval is the longest time without a report on a stream. It is below
// the time after which a scheduler takes a silent demand for gone.
const signInterval = 5 * time.Minute
