package keys

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/requestkey"
)

// maxHandOverBytes bounds the bodies of recorded answers in one hand-over message. A
// single larger body is sent in a message of its own.
const maxHandOverBytes = 1 << 20

// AnswerClaim answers a router that became the owner of a key under a newer instance
// list. An answer without a record is the promise that this incarnation does not begin
// the key under a list of a lower revision. It implements peer.KeyHandler.
func (e *Executor) AnswerClaim(req *v1.ClaimKeyRequest) *v1.ClaimKeyReply {
	e.mu.Lock()
	reply := e.ledger.AnswerClaim(time.Now(), requestkey.ClaimRequest{
		ID:       requestkey.ID{Workspace: req.Workspace, Key: req.Key},
		Revision: req.Revision,
	})
	e.mu.Unlock()
	message := &v1.ClaimKeyReply{Router: reply.From.Name, Incarnation: reply.From.Incarnation}
	if reply.Record != nil {
		message.Record = reply.Record.Proto()
	}
	for _, m := range reply.Cleared {
		message.Cleared = append(message.Cleared, memberMessage(m))
	}
	return message
}

// AcceptHandOver takes in a part of a stopping router's ledger. It reports whether all
// records were accepted. It implements peer.KeyHandler.
func (e *Executor) AcceptHandOver(m *v1.HandOverRequest) bool {
	h := requestkey.HandOver{
		From:     requestkey.Member{Name: m.Router, Incarnation: m.Incarnation},
		To:       m.Successor,
		Revision: m.Revision,
		Last:     m.Last,
	}
	for _, held := range m.Earlier {
		h.Earlier = append(h.Earlier, requestkey.HeldHandOver{
			From:     memberFromMessage(held.From),
			Holder:   memberFromMessage(held.Holder),
			Revision: held.Revision,
		})
	}
	for _, record := range m.Records {
		h.Records = append(h.Records, requestkey.RecordFromProto(record))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Import(time.Now(), h)
}

// Stop makes the ledger begin no further keys. Claims from other routers are still
// answered.
func (e *Executor) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.Stop()
}

// HandOver stops the ledger and returns its records by the name of the successor that
// gets them, in messages of bounded size. The messages to a successor must be sent in
// order.
func (e *Executor) HandOver() map[string][]*v1.HandOverRequest {
	e.mu.Lock()
	exported := e.ledger.Export(time.Now())
	e.mu.Unlock()
	messages := map[string][]*v1.HandOverRequest{}
	for _, h := range exported {
		messages[h.To] = splitHandOver(h)
	}
	return messages
}

func memberMessage(m requestkey.Member) *v1.Leaving {
	return &v1.Leaving{Instance: m.Name, Incarnation: m.Incarnation}
}

func memberFromMessage(m *v1.Leaving) requestkey.Member {
	return requestkey.Member{Name: m.GetInstance(), Incarnation: m.GetIncarnation()}
}

// splitHandOver splits a hand-over into messages with at most maxHandOverBytes of answer
// bodies, or one larger body. Earlier and Last are set in the last message only.
func splitHandOver(h requestkey.HandOver) []*v1.HandOverRequest {
	newPart := func() *v1.HandOverRequest {
		return &v1.HandOverRequest{
			Router:      h.From.Name,
			Incarnation: h.From.Incarnation,
			Successor:   h.To,
			Revision:    h.Revision,
		}
	}
	parts := []*v1.HandOverRequest{newPart()}
	size := 0
	for _, record := range h.Records {
		message := record.Proto()
		if size > 0 && size+len(message.Body) > maxHandOverBytes {
			parts = append(parts, newPart())
			size = 0
		}
		part := parts[len(parts)-1]
		part.Records = append(part.Records, message)
		size += len(message.Body)
	}
	last := parts[len(parts)-1]
	last.Last = h.Last
	for _, held := range h.Earlier {
		last.Earlier = append(last.Earlier, &v1.HeldHandOver{
			From:     memberMessage(held.From),
			Holder:   memberMessage(held.Holder),
			Revision: held.Revision,
		})
	}
	return parts
}

// Observe adds instance lists from the platform or from other routers to the ledger.
func (e *Executor) Observe(views ...requestkey.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ledger.Observe(time.Now(), views...)
}

// Views returns the instance lists that decide who owns a key, for another router. It
// implements peer.KeyHandler.
func (e *Executor) Views() *v1.KeyViewsReply {
	e.mu.Lock()
	views := e.ledger.Views()
	e.mu.Unlock()
	reply := &v1.KeyViewsReply{}
	for _, view := range views {
		m := &v1.KeyView{
			Revision:        view.Revision,
			FirstAsOfUnixMs: view.FirstAsOf.UnixMilli(),
			LastAsOfUnixMs:  view.LastAsOf.UnixMilli(),
		}
		for _, router := range view.Routers {
			m.Routers = append(m.Routers, memberMessage(router))
		}
		reply.Views = append(reply.Views, m)
	}
	return reply
}

// ObserveReply adds the instance lists of another router's answer to the ledger.
func (e *Executor) ObserveReply(reply *v1.KeyViewsReply) {
	views := make([]requestkey.View, len(reply.Views))
	for i, m := range reply.Views {
		views[i] = requestkey.View{
			Revision:  m.Revision,
			FirstAsOf: time.UnixMilli(m.FirstAsOfUnixMs),
			LastAsOf:  time.UnixMilli(m.LastAsOfUnixMs),
		}
		for _, router := range m.Routers {
			views[i].Routers = append(views[i].Routers, memberFromMessage(router))
		}
	}
	e.Observe(views...)
}

// LedgerSize returns the number of keys in the ledger and the bytes of their answers.
func (e *Executor) LedgerSize() (count, size int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Len(), e.ledger.Bytes()
}
