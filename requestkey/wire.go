package requestkey

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Proto returns the record as the message that routers exchange.
func (r Record) Proto() *v1.KeyRecord {
	p := &v1.KeyRecord{
		Workspace:   r.ID.Workspace,
		Key:         r.ID.Key,
		Digest:      uint64(r.Digest),
		Ran:         r.Ran,
		InProgress:  r.InProgress,
		RemainingMs: uint64(max(0, r.Remaining.Milliseconds())),
	}
	if r.Answer == nil {
		return p
	}
	p.Body = r.Answer.Body
	p.Answer = &v1.AnswerHead{Status: uint32(r.Answer.Status), Code: r.Answer.Code, Ran: r.Ran}
	for _, h := range r.Answer.Headers {
		p.Answer.Headers = append(p.Answer.Headers, &v1.Header{Name: h.Name, Value: h.Value})
	}
	return p
}

// RecordFromProto is the inverse of Record.Proto. A missing Ran and NO become UNKNOWN, since
// a record exists only for a key that was begun.
func RecordFromProto(p *v1.KeyRecord) Record {
	r := Record{
		ID:         ID{Workspace: p.GetWorkspace(), Key: p.GetKey()},
		Digest:     Digest(p.GetDigest()),
		Ran:        v1.Ran_UNKNOWN,
		InProgress: p.GetInProgress(),
		Remaining:  time.Duration(p.GetRemainingMs()) * time.Millisecond,
	}
	if p.GetRan() != v1.Ran_YES {
		return r
	}
	r.Ran = v1.Ran_YES
	if head := p.GetAnswer(); head != nil {
		r.Answer = &Answer{Status: int(head.GetStatus()), Code: head.GetCode(), Body: p.GetBody()}
		for _, h := range head.GetHeaders() {
			r.Answer.Headers = append(r.Answer.Headers, Header{Name: h.GetName(), Value: h.GetValue()})
		}
	}
	return r
}

// ViewFromList returns the view of an instance list. A router without a state in the list
// counts as leaving.
func ViewFromList(list *v1.InstanceList) View {
	asOf := time.UnixMilli(list.GetAsOfUnixMs())
	v := View{Revision: list.GetRevision(), FirstAsOf: asOf, LastAsOf: asOf}
	if published := list.GetPublishedUnixMs(); published > 0 {
		v.FirstAsOf = time.UnixMilli(min(published, list.GetAsOfUnixMs()))
	}
	for _, instance := range list.GetInstances() {
		if instance.GetIsTarget() || instance.GetState() != v1.InstanceState_LIVE {
			continue
		}
		v.Routers = append(v.Routers, Member{Name: instance.GetName(), Incarnation: instance.GetIncarnation()})
	}
	return v
}
