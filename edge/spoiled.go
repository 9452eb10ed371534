package edge

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/streams"
)

var (
	// errAnswerInBody: the target has broken a body off and answered again.
	errAnswerInBody = errors.New("another answer within the body")
	// errJoinedHeads: the target has broken a head off and answered again.
	errJoinedHeads = errors.New("head of two answers")
)

// spoiledReasons names the errors of spoiled answers for logs and metrics.
var spoiledReasons = map[error]string{
	streams.ErrOrder: "order", streams.ErrGap: "gap", streams.ErrForm: "form", errAnswerInStream: "answer_in_stream", errJoinedEvents: "joined_events",
	errMalformedText: "malformed_text",
	errAnswerInBody:  "answer_in_body", errJoinedHeads: "joined_heads",
}

// noteSpoiled records the reason why an answer is not whole, or none to the request, if err is one.
func (a *attempt) noteSpoiled(err error) {
	for spoiled, reason := range spoiledReasons {
		if errors.Is(err, spoiled) {
			a.spoiled = reason
			a.call.edge.metrics.spoiled.WithLabelValues(reason).Inc()
		}
	}
}

// joinsHeads reports whether a head is of two answers: one that breaks off, and the whole head of the next one behind it. The
// second status line is then at the end of the reason phrase or of a field's value. Request IDs or signatures that differ
// show it, too.
func (h *Headers) joinsHeads(resp *h1.Response) bool {
	if _, found := h1.CutStatusLine(resp.Reason); found {
		return true
	}
	for i, f := range resp.Header {
		if h.identifiesAnswer(f.Name) && f.Value != resp.Header.Get(f.Name) {
			return true
		}
		before, found := h1.CutStatusLine(f.Value)
		if !found {
			continue
		}
		// The value of another field may end with a status line of its own, but not within a word. The fields of a second
		// head come again.
		inWord := before != "" && strings.TrimRightFunc(before, isLetterOrDigit) != before
		if inWord || h.identifiesAnswer(f.Name) || slices.ContainsFunc(resp.Header[i+1:], func(after h1.Field) bool {
			_, again := resp.Header[:i+1].Lookup(after.Name)
			return again
		}) {
			return true
		}
	}
	return false
}

// identifiesAnswer reports whether a field is that of the request ID or of the signature.
func (h *Headers) identifiesAnswer(name string) bool {
	return strings.EqualFold(name, h.RequestID) || strings.EqualFold(name, h.Signature)
}

// isSigned reports whether a target has signed an answer: a signature is printable ASCII.
func (h *Headers) isSigned(resp *h1.Response) bool {
	signature := resp.Header.Get(h.Signature)
	return signature != "" && !strings.ContainsFunc(signature, func(r rune) bool { return r < ' ' || r > '~' })
}

func isLetterOrDigit(r rune) bool { return unicode.IsLetter(r) || unicode.IsDigit(r) }

const (
	// headRestTime limits the wait for the rest of a head that may begin at the end of a body: targets write heads at once.
	headRestTime = 20 * time.Millisecond
	// lateHeadRestTime is that limit if the body ends with a status line: sound ones do not, so that there is time for a
	// packet that is sent again.
	lateHeadRestTime = 250 * time.Millisecond
)

// checkedBody reads a body on u, and fails with errAnswerInBody if it holds the head of another answer. After the last
// byte, end says whether such a head begins in the body and goes on behind it.
type checkedBody struct {
	body     io.Reader
	u        *upstream
	idHeader string
	// begun is the end of what was read that may be the beginning of a head; empty if there is none.
	begun []byte
}

// newCheckedBody returns a reader of the body of an answer on u.
func (a *attempt) newCheckedBody(u *upstream, resp *h1.Response) *checkedBody {
	return &checkedBody{body: resp.Body(u.br), u: u, idHeader: a.call.edge.headers.RequestID}
}

func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if n == 0 {
		return n, err
	}
	text := p[:n]
	if len(b.begun) > 0 {
		text = append(b.begun, text...)
	}
	if b.u.holdsAnswer(text, b.idHeader) {
		return n, errAnswerInBody
	}
	b.begun = slices.Clone(begunHead(text))
	return n, err
}

// end returns errAnswerInBody if the body ends within the head of another answer: the bytes behind it complete that. Other
// bytes behind a body say nothing of it.
func (b *checkedBody) end() error {
	if len(b.begun) == 0 {
		return nil
	}
	wait := headRestTime
	if len(b.begun) >= len(statusLineForm) {
		wait = lateHeadRestTime
	}
	b.u.SetReadDeadline(time.Now().Add(wait))
	for {
		_, err := b.u.br.Peek(b.u.br.Buffered() + 1)
		// Peek does not fail or read for as many bytes as are buffered.
		rest, _ := b.u.br.Peek(b.u.br.Buffered())
		if bytes.HasPrefix(rest, statusLineStart) {
			return nil
		}
		head, ok := bytes.CutPrefix(slices.Concat(b.begun, rest), statusLineStart)
		if id, _, named := headField(head, b.idHeader); ok && named && b.u.hasSent(id) {
			return errAnswerInBody
		}
		if err != nil {
			return nil
		}
	}
}

// begunHead returns the longest end of a text that may begin the head of an answer; nil if there is none.
func begunHead(text []byte) []byte {
	text = text[max(len(text)-maxAnswerHeadBytes, 0):]
	for {
		start := bytes.IndexByte(text, statusLineStart[0])
		if start < 0 {
			return nil
		}
		if text = text[start:]; mayBeginHead(text) {
			return text
		}
		text = text[1:]
	}
}

// mayBeginHead reports whether a text, which is not empty, may be the beginning of the head of an answer.
func mayBeginHead(text []byte) bool {
	status, fields, _ := bytes.Cut(text, []byte("\n"))
	if !mayBeginStatusLine(status) {
		return false
	}
	for line := range bytes.Lines(fields) {
		if bytes.HasSuffix(line, []byte("\n")) && bytes.IndexByte(line, ':') <= 0 {
			return false
		}
	}
	return true
}

// statusLineForm is the beginning of a status line, with a 0 for each digit.
const statusLineForm = "HTTP/0.0 000"

// mayBeginStatusLine reports whether a text may be the beginning of a status line.
func mayBeginStatusLine(text []byte) bool {
	for i, c := range text[:min(len(text), len(statusLineForm))] {
		if c >= '0' && c <= '9' {
			c = '0'
		}
		if c != statusLineForm[i] {
			return false
		}
	}
	return true
}
