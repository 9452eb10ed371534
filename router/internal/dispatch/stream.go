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
	// resumeDelay is the wait before each attempt to resume a stream.
	resumeDelay = 50 * time.Millisecond
)

// stream relays the events of one answer. If the connection is lost and the target
// supports it, the stream is resumed on a new connection.
type stream struct {
	attempt *attempt
	sink    Sink
	id      string
	lastID  string
	resumes int
}

// relay passes events to the sink until the end of the stream.
func (s *stream) relay(ctx context.Context, resp *http.Response, wd *watchdog) error {
	s.id = resp.Header.Get(streamIDHeader)
	if err := s.sink.Head(resp.StatusCode, resp.Header, nil); err != nil {
		resp.Body.Close()
		return errCallerGone
	}
	for {
		err := s.relayConnection(resp, wd)
		resp.Body.Close()
		if err == nil || errors.Is(err, errCallerGone) || !s.mayResume() {
			return err
		}
		resp, wd, err = s.resume(ctx, err)
		if err != nil {
			return err
		}
	}
}

// relayConnection passes the events of one connection to the sink. The watchdog is
// stopped while the sink is written to.
func (s *stream) relayConnection(resp *http.Response, wd *watchdog) error {
	defer wd.stop()
	events := newEventReader(resp.Body)
	for {
		ev, err := events.next()
		wd.stop()
		if err != nil {
			return truncationError(err)
		}
		s.attempt.reportAnswerBegun()
		last := bytes.Equal(ev.data, streamEnd)
		if last {
			s.attempt.req.beforeEnd(s.attempt.answeredEnd(resp).result, ev.raw)
		} else {
			s.attempt.observe(ev.data)
		}
		if err := s.sink.Data(ev.raw); err != nil {
			return errCallerGone
		}
		if last {
			return nil
		}
		if ev.id != "" {
			s.lastID = ev.id
		}
		wd.reset()
	}
}

// mayResume reports whether the target supports resuming and the stream has a position
// from which to resume.
func (s *stream) mayResume() bool {
	return s.attempt.target.Resumes && s.id != "" && s.lastID != "" && s.resumes < maxResumes
}

// resume requests the events after the last one that was relayed, on a new connection.
// It tries again until maxResumes is reached.
func (s *stream) resume(ctx context.Context, cause error) (*http.Response, *watchdog, error) {
	for s.resumes < maxResumes {
		s.resumes++
		if err := sleep(ctx, resumeDelay); err != nil {
			return nil, nil, truncationError(err)
		}
		resp, wd, err := s.resumeOnce(ctx)
		if err == nil {
			return resp, wd, nil
		}
		cause = err
	}
	// The cause is formatted with %v, not wrapped: errNotSent from a resume request
	// says nothing about whether the original request was sent.
	return nil, nil, fmt.Errorf("%w: resume failed: %v", errTruncated, cause)
}

// resumeOnce sends one resume request and returns its response with a new watchdog.
func (s *stream) resumeOnce(ctx context.Context) (*http.Response, *watchdog, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	wd := newWatchdog(cancel, s.attempt.dispatcher.limits(s.attempt.req.Config).firstByte)
	req := &Request{
		Config:    s.attempt.req.Config,
		Method:    http.MethodGet,
		TargetURI: resumePath + url.PathEscape(s.id),
		Header:    http.Header{lastEventIDHeader: []string{s.lastID}},
	}
	resp, err := s.attempt.dispatcher.transports.roundTrip(ctx, s.attempt.target, req)
	if err != nil {
		wd.stop()
		cancel(err)
		return nil, nil, err
	}
	if resp.StatusCode != http.StatusOK || !isEventStream(resp.Header) {
		wd.stop()
		resp.Body.Close()
		cancel(errTruncated)
		return nil, nil, fmt.Errorf("target answered %s to a resume", resp.Status)
	}
	resp.Body = &cancelOnClose{ReadCloser: resp.Body, cancel: cancel}
	wd.setLimit(s.attempt.dispatcher.limits(s.attempt.req.Config).betweenTokens)
	return resp, wd, nil
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

// observe counts the tokens of one event and reports the cost if a report is due.
func (a *attempt) observe(data []byte) {
	a.usage.observe(data)
	a.reportProgress()
}

// initialPrediction returns the cost that the scheduler charges without a report. A
// spare slot comes without an estimate. The average cost that this router has observed
// then replaces it, since the scheduler's own estimate is about the same.
func (a *attempt) initialPrediction() pool.Prediction {
	prediction := a.grant.Prediction
	if prediction.Estimate == 0 {
		prediction.Estimate = int64(a.dispatcher.expectedCost(a.req))
	}
	return prediction
}

// reportProgress sends the cost so far if it exceeds the predicted charge by enough (see
// pool.Prediction.ReportDue), or if the last report is maxReportInterval ago, to show that
// the request is still served.
func (a *attempt) reportProgress() {
	now := time.Now()
	elapsed := now.Sub(a.started)
	cost := a.usage.cost(a.req.Pool)
	if !a.prediction.ReportDue(elapsed, int64(cost)) && now.Sub(a.lastReport) < maxReportInterval {
		return
	}
	a.grant.ReportProgress(cost)
	a.prediction.Observe(elapsed, int64(cost))
	a.lastReport = now
}

// maxReportInterval is the longest time without a progress report on a stream. It is
// shorter than the time after which a scheduler takes a demand without reports for
// lost.
const maxReportInterval = 5 * time.Minute
