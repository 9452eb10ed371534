package keys

import (
	"net/http"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/requestkey"
	"github.com/chiveseam/chiveseam/result"
	"github.com/chiveseam/chiveseam/router/internal/dispatch"
)

// maxRecordedBytes bounds the copy of an answer while it is relayed; the
// ledger's own bound decides what is kept.
const maxRecordedBytes = 1 << 20

// recorder passes an answer on and keeps a copy. A caller that went away does
// not end the recording, since the request runs all the same.
type recorder struct {
	sink   dispatch.Sink
	gone   bool
	status int
	header http.Header
	body   []byte
	code   v1.Code
	whole  bool
	// over is set when the answer is larger than maxRecordedBytes.
	over bool
}

// Head implements dispatch.Sink.
func (r *recorder) Head(status int, header http.Header, known *result.Result) error {
	r.status = status
	r.header = header.Clone()
	if err := r.sink.Head(status, header, known); err != nil {
		r.gone = true
	}
	return nil
}

// Data implements dispatch.Sink.
func (r *recorder) Data(p []byte) error {
	if !r.whole {
		r.keep(p)
	}
	if r.gone {
		return nil
	}
	if err := r.sink.Data(p); err != nil {
		r.gone = true
	}
	return nil
}

func (r *recorder) keep(p []byte) {
	if len(r.body)+len(p) > maxRecordedBytes {
		r.over = true
		r.body = nil
	}
	if !r.over {
		r.body = append(r.body, p...)
	}
}

// end notes the result, with a last part that is still to be passed on.
func (r *recorder) end(end *result.Result, last []byte) {
	r.keep(last)
	r.code = end.Code
	r.whole = end.Complete()
}

// answer returns the whole answer, nil if there is none.
func (r *recorder) answer() *requestkey.Answer {
	if !r.whole || r.over {
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

// replay sends a recorded answer again.
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

// claimReply converts the message of an earlier owner.
func claimReply(reply *v1.ClaimKeyReply) requestkey.ClaimReply {
	converted := requestkey.ClaimReply{From: requestkey.Member{Name: reply.Router, Incarnation: reply.Incarnation}}
	if reply.Record != nil {
		record := requestkey.RecordFromProto(reply.Record)
		converted.Record = &record
	}
	for _, m := range reply.Cleared {
		converted.Cleared = append(converted.Cleared, memberOf(m))
	}
	return converted
}
