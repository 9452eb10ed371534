package peer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/requestkey"
	"github.com/chiveseam/chiveseam/result"
	"github.com/chiveseam/chiveseam/router/internal/dispatch"
)

// frameBytes is the most data in one frame of a request or an answer.
const frameBytes = 256 << 10

// Forward implements the Peering service: it executes a request that another
// router passed on.
func (s *Server) Forward(stream v1.DRPCPeering_ForwardStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	head := first.GetRequest()
	if head == nil {
		return errors.New("the first frame has no request")
	}
	body, err := s.receiveBody(stream, head, first.Data)
	if err != nil {
		return err
	}
	sink := &frameSink{stream: stream}
	end := s.opts.Entry.Forwarded(stream.Context(), head, body, sink)
	return stream.Send(&v1.ForwardFrame{End: &v1.AnswerEnd{
		Complete:     end.Complete(),
		Code:         end.Code,
		Ran:          end.Ran,
		RetryAfterMs: uint32(end.RetryAfter.Milliseconds()),
		Detail:       end.Detail,
	}})
}

func (s *Server) receiveBody(stream v1.DRPCPeering_ForwardStream, head *v1.ForwardHead, body []byte) ([]byte, error) {
	if head.BodyBytes > uint64(s.opts.MaxForwardBytes) {
		return nil, fmt.Errorf("the body of %d bytes is over the limit of %d", head.BodyBytes, s.opts.MaxForwardBytes)
	}
	for uint64(len(body)) < head.BodyBytes {
		frame, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		body = append(body, frame.Data...)
	}
	return body, nil
}

// frameSink sends an answer as frames. It implements dispatch.Sink.
type frameSink struct {
	stream v1.DRPCPeering_ForwardStream
}

// Head implements dispatch.Sink.
func (f *frameSink) Head(status int, header http.Header, known *result.Result) error {
	head := &v1.AnswerHead{Status: uint32(status)}
	if known != nil {
		head.Code = known.Code
		head.Ran = known.Ran
	}
	for name, values := range header {
		for _, value := range values {
			head.Headers = append(head.Headers, &v1.Header{Name: name, Value: value})
		}
	}
	return f.stream.Send(&v1.ForwardFrame{Answer: head})
}

// Data implements dispatch.Sink.
func (f *frameSink) Data(p []byte) error {
	for len(p) > 0 {
		n := min(len(p), frameBytes)
		if err := f.stream.Send(&v1.ForwardFrame{Data: p[:n]}); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// Forward passes a request on to the owner of its key. It returns false if
// the owner was not reached, so that nothing is known of the key.
func (c *Client) Forward(ctx context.Context, owner requestkey.Member, head *v1.ForwardHead, body []byte, sink dispatch.Sink) (*result.Result, bool) {
	conn, err := c.dialOwner(ctx, owner)
	if err != nil {
		return nil, false
	}
	defer conn.Close()
	stream, err := v1.NewDRPCPeeringClient(conn).Forward(ctx)
	if err != nil {
		return nil, false
	}
	defer stream.Close()
	watch := newSilenceWatch(time.Duration(head.DeadlineMs)*time.Millisecond+forwardGrace, func() { conn.Close() })
	defer watch.stop()
	if err := sendRequest(stream, head, body); err != nil {
		return ownerLost(owner, err), true
	}
	return receiveAnswer(ctx, stream, owner, sink, watch), true
}

// forwardGrace is added to the deadline of a request that was passed on
// before its owner is given up.
const forwardGrace = 2 * time.Second

func sendRequest(stream v1.DRPCPeering_ForwardClient, head *v1.ForwardHead, body []byte) error {
	n := min(len(body), frameBytes)
	if err := stream.Send(&v1.ForwardFrame{Request: head, Data: body[:n]}); err != nil {
		return err
	}
	for body = body[n:]; len(body) > 0; body = body[n:] {
		n = min(len(body), frameBytes)
		if err := stream.Send(&v1.ForwardFrame{Data: body[:n]}); err != nil {
			return err
		}
	}
	return nil
}

func ownerLost(owner requestkey.Member, err error) *result.Result {
	r := result.New(v1.Code_KEY_OWNER_UNREACHABLE, v1.Ran_UNKNOWN, "router %s was lost: %v", owner.Name, err)
	r.RetryAfter = time.Second
	return r
}

// receiveAnswer relays the owner's frames to the caller, whose context is ctx. The
// stream's own context also ends when the connection is given up.
func receiveAnswer(ctx context.Context, stream v1.DRPCPeering_ForwardClient, owner requestkey.Member, sink dispatch.Sink, watch *silenceWatch) *result.Result {
	for {
		frame, err := stream.Recv()
		if err != nil && ctx.Err() != nil {
			return result.New(v1.Code_CANCELLED, v1.Ran_UNKNOWN, "the caller went away")
		}
		if err != nil {
			return ownerLost(owner, err)
		}
		watch.heard()
		if end := frame.GetEnd(); end != nil {
			return &result.Result{
				Code:       end.Code,
				Ran:        end.Ran,
				RetryAfter: time.Duration(end.RetryAfterMs) * time.Millisecond,
				Detail:     end.Detail,
			}
		}
		if err := relayFrame(frame, sink); err != nil {
			return result.New(v1.Code_CANCELLED, v1.Ran_UNKNOWN, "the caller went away")
		}
	}
}

// knownResult returns the result that came with the head, nil if none did.
func knownResult(head *v1.AnswerHead) *result.Result {
	if head.Code == v1.Code_CODE_UNSPECIFIED {
		return nil
	}
	return result.New(head.Code, head.Ran, "")
}

func relayFrame(frame *v1.ForwardFrame, sink dispatch.Sink) error {
	if head := frame.GetAnswer(); head != nil {
		header := http.Header{}
		for _, h := range head.Headers {
			header.Add(h.Name, h.Value)
		}
		if err := sink.Head(int(head.Status), header, knownResult(head)); err != nil {
			return err
		}
	}
	if len(frame.Data) == 0 {
		return nil
	}
	return sink.Data(frame.Data)
}
