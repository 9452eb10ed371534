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

// maxFrameBytes is the greatest amount of data in one frame of a forwarded request
// or its response.
const maxFrameBytes = 256 << 10

// Forward implements the Peering service. It executes a request that another
// router forwarded, and streams the response back. The last frame has the result.
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
	res := s.opts.Entry.ExecuteForwarded(stream.Context(), head, body, sink)
	return stream.Send(&v1.ForwardFrame{End: &v1.AnswerEnd{
		Complete:     res.Complete(),
		Code:         res.Code,
		Ran:          res.Ran,
		RetryAfterMs: uint32(res.RetryAfter.Milliseconds()),
		Detail:       res.Detail,
	}})
}

// receiveBody returns the request's whole body, whose first part is body and whose
// other parts are in the next frames of the stream. It fails without reading if
// the declared length exceeds the limit.
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

// frameSink sends a response to the router that forwarded the request, in frames.
// It implements dispatch.Sink.
type frameSink struct {
	stream v1.DRPCPeering_ForwardStream
}

// Head implements dispatch.Sink.
func (f *frameSink) Head(status int, header http.Header, final *result.Result) error {
	head := &v1.AnswerHead{Status: uint32(status)}
	if final != nil {
		head.Code = final.Code
		head.Ran = final.Ran
	}
	for name, values := range header {
		for _, value := range values {
			head.Headers = append(head.Headers, &v1.Header{Name: name, Value: value})
		}
	}
	return f.stream.Send(&v1.ForwardFrame{Answer: head})
}

// Data implements dispatch.Sink. It splits p into frames of maxFrameBytes.
func (f *frameSink) Data(p []byte) error {
	for len(p) > 0 {
		n := min(len(p), maxFrameBytes)
		if err := f.stream.Send(&v1.ForwardFrame{Data: p[:n]}); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// Forward forwards a request to the owner of its key and relays the response to
// sink. It returns false, and no result, if it could not open a stream to the owner
// and therefore has sent nothing. If the owner is lost later, or silent for
// forwardGrace longer than the request's deadline, the result is
// KEY_OWNER_UNREACHABLE and it is unknown whether the request ran.
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
	timer := newSilenceTimer(time.Duration(head.DeadlineMs)*time.Millisecond+forwardGrace, func() { conn.Close() })
	defer timer.stop()
	if err := sendRequest(stream, head, body); err != nil {
		return ownerUnreachable(owner, err), true
	}
	return relayResponse(ctx, stream, owner, sink, timer), true
}

// forwardGrace is added to the deadline of a forwarded request. The owner is given
// up after a silence as long as both together.
const forwardGrace = 2 * time.Second

// sendRequest sends the request in frames of at most maxFrameBytes of data. The
// first frame has the head and the first part of the body.
func sendRequest(stream v1.DRPCPeering_ForwardClient, head *v1.ForwardHead, body []byte) error {
	n := min(len(body), maxFrameBytes)
	if err := stream.Send(&v1.ForwardFrame{Request: head, Data: body[:n]}); err != nil {
		return err
	}
	for body = body[n:]; len(body) > 0; body = body[n:] {
		n = min(len(body), maxFrameBytes)
		if err := stream.Send(&v1.ForwardFrame{Data: body[:n]}); err != nil {
			return err
		}
	}
	return nil
}

func ownerUnreachable(owner requestkey.Member, err error) *result.Result {
	r := result.New(v1.Code_KEY_OWNER_UNREACHABLE, v1.Ran_UNKNOWN, "router %s was lost: %v", owner.Name, err)
	r.RetryAfter = time.Second
	return r
}

// relayResponse relays the owner's frames to sink until the frame with the result,
// which it returns. ctx ends when the caller disconnects. The context of the
// stream can't tell this, because it also ends when the connection is given up.
func relayResponse(ctx context.Context, stream v1.DRPCPeering_ForwardClient, owner requestkey.Member, sink dispatch.Sink, timer *silenceTimer) *result.Result {
	for {
		frame, err := stream.Recv()
		if err != nil && ctx.Err() != nil {
			return result.New(v1.Code_CANCELLED, v1.Ran_UNKNOWN, "the caller went away")
		}
		if err != nil {
			return ownerUnreachable(owner, err)
		}
		timer.reset()
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

// resultOfHead returns the result in the head of a response. It returns nil if the
// head has none because the end of the response was not known yet.
func resultOfHead(head *v1.AnswerHead) *result.Result {
	if head.Code == v1.Code_CODE_UNSPECIFIED {
		return nil
	}
	return result.New(head.Code, head.Ran, "")
}

// relayFrame passes the response head and the data of a frame to sink. An error
// means that the caller has disconnected.
func relayFrame(frame *v1.ForwardFrame, sink dispatch.Sink) error {
	if head := frame.GetAnswer(); head != nil {
		header := http.Header{}
		for _, h := range head.Headers {
			header.Add(h.Name, h.Value)
		}
		if err := sink.Head(int(head.Status), header, resultOfHead(head)); err != nil {
			return err
		}
	}
	if len(frame.Data) == 0 {
		return nil
	}
	return sink.Data(frame.Data)
}
