package keys

import (
	"net/http"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/requestkey"
	"github.com/chiveseam/chiveseam/result"
	"github.com/chiveseam/chiveseam/router/internal/dispatch"
)

// maxRecordedBytes bounds the copy of an answer that is made while the answer is relayed.
// The bounds of the ledger, requestkey.Options, decide which answers are kept.
const maxRecordedBytes = 1 << 20

// recorder is a dispatch.Sink that relays an answer to the caller's sink and keeps a
// copy. Its methods hide the errors of the caller's sink: the target executes the request
// even if the caller disconnects, so the answer is still recorded.
type recorder struct {
	sink dispatch.Sink
	// callerGone is set after an error of sink, to which nothing is sent any more.
	callerGone bool
	status     int
	header     http.Header
	body       []byte
	// code is the result code, and complete tells whether the answer is complete. Both
	// are set by recordEnd.
	code     v1.Code
	complete bool
	// tooLarge is set when the answer is larger than maxRecordedBytes.
	tooLarge bool
}

// Head implements dispatch.Sink.
func (r *recorder) Head(status int, header http.Header, known *result.Result) error {
	r.status = status
	r.header = header.Clone()
	if err := r.sink.Head(status, header, known); err != nil {
		r.callerGone = true
	}
	return nil
}

// Data implements dispatch.Sink.
func (r *recorder) Data(p []byte) error {
	if !r.complete {
		r.appendBody(p)
	}
	if r.callerGone {
		return nil
	}
	if err := r.sink.Data(p); err != nil {
		r.callerGone = true
	}
	return nil
}

func (r *recorder) appendBody(p []byte) {
	if len(r.body)+len(p) > maxRecordedBytes {
		r.tooLarge = true
		r.body = nil
	}
	if !r.tooLarge {
		r.body = append(r.body, p...)
	}
}

// recordEnd records the result and the last part of the answer, which the caller may not
// have been sent yet.
func (r *recorder) recordEnd(end *result.Result, last []byte) {
	r.appendBody(last)
	r.code = end.Code
	r.complete = end.Complete()
}

// answer returns the recorded answer, or nil if it is incomplete or too large.
func (r *recorder) answer() *requestkey.Answer {
	if !r.complete || r.tooLarge {
		return nil
	}
	a := &requestkey.Answer{Status: r.status, Code: r.code, Body: r.body}
	for name, values := range r.header {
		for _, value := range values {
			a.Headers = append(a.Headers, requestkey.Header{Name: name, Value: value})
		}
	}
	return a
}

// replay sends a recorded answer to the caller.
func replay(answer *requestkey.Answer, sink dispatch.Sink) *result.Result {
	header := http.Header{}
	for _, h := range answer.Headers {
		header.Add(h.Name, h.Value)
	}
	end := result.New(v1.Code_REPLAYED, v1.Ran_YES, "recorded answer")
	if sink.Head(answer.Status, header, end) != nil || sink.Data(answer.Body) != nil {
		return result.New(v1.Code_CANCELLED, v1.Ran_YES, "the caller went away")
	}
	return end
}

// claimReplyFromMessage converts the answer of an earlier owner.
func claimReplyFromMessage(reply *v1.ClaimKeyReply) requestkey.ClaimReply {
	converted := requestkey.ClaimReply{From: requestkey.Member{Name: reply.Router, Incarnation: reply.Incarnation}}
	if reply.Record != nil {
		record := requestkey.RecordFromProto(reply.Record)
		converted.Record = &record
	}
	for _, m := range reply.Cleared {
		converted.Cleared = append(converted.Cleared, memberFromMessage(m))
	}
	return converted
}
