package h1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// framing determines where the body of a message ends.
type framing struct {
	kind framingKind
	// length is the value of Content-Length in bytes, 0 for every other kind.
	length int64
}

// framingKind is the rule that determines the end of a body (RFC 9112, section 6.3).
type framingKind int

const (
	// noBody messages end with their header.
	noBody framingKind = iota
	// fixedLength bodies hold as many bytes as Content-Length says.
	fixedLength
	chunked
	// untilClose bodies end when the sender closes the connection.
	untilClose
)

// headerFraming returns the framing that Content-Length and Transfer-Encoding give, or
// noBody if the header holds neither. It returns ErrFraming for headers that two parsers
// may read differently: both fields at once, a repeated field, or a transfer coding other
// than chunked.
func headerFraming(h Header) (framing, error) {
	codings := h.Count("Transfer-Encoding")
	lengths := h.Count("Content-Length")
	switch {
	case codings > 0 && lengths > 0:
		return framing{}, fmt.Errorf("%w: length beside a transfer coding", ErrFraming)
	case codings > 1 || (codings == 1 && !strings.EqualFold(h.Get("Transfer-Encoding"), "chunked")):
		return framing{}, fmt.Errorf("%w: transfer coding", ErrFraming)
	case codings == 1:
		return framing{kind: chunked}, nil
	case lengths > 1:
		return framing{}, fmt.Errorf("%w: several lengths", ErrFraming)
	case lengths == 0:
		return framing{kind: noBody}, nil
	}
	length, err := parseContentLength(h.Get("Content-Length"))
	if err != nil {
		return framing{}, err
	}
	return framing{kind: fixedLength, length: length}, nil
}

// maxContentLengthDigits keeps every accepted Content-Length within an int64.
const maxContentLengthDigits = 18

// parseContentLength accepts decimal digits only. strconv.ParseInt alone would also
// accept a sign.
func parseContentLength(s string) (int64, error) {
	if s == "" || len(s) > maxContentLengthDigits || strings.Trim(s, "0123456789") != "" {
		return 0, fmt.Errorf("%w: length %q", ErrFraming, s)
	}
	return strconv.ParseInt(s, 10, 64)
}

// newBody returns a reader of a body with the given framing. It returns io.EOF at the end
// of the body only. A connection that ends within a body of known length or chunks gives
// io.ErrUnexpectedEOF.
func newBody(br *bufio.Reader, f framing) io.Reader {
	switch f.kind {
	case fixedLength:
		return &fixedLengthBody{br: br, remaining: f.length}
	case chunked:
		return &chunkedBody{br: br}
	case untilClose:
		return br
	}
	return eofReader{}
}

// eofReader reads an empty body.
type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// fixedLengthBody reads a body whose length Content-Length gives.
type fixedLengthBody struct {
	br        *bufio.Reader
	remaining int64
}

func (b *fixedLengthBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	return readUpTo(b.br, p, &b.remaining)
}

// readUpTo reads at most *remaining bytes and subtracts the number of bytes read from it.
func readUpTo(br *bufio.Reader, p []byte, remaining *int64) (int, error) {
	n, err := br.Read(p[:min(int64(len(p)), *remaining)])
	*remaining -= int64(n)
	return n, unexpectedEOF(err)
}

// maxChunkOverheadBytes bounds the bytes besides data that nextChunk reads for one chunk:
// the line end after the previous chunk, the chunk size line and, after the last chunk,
// the trailers.
const maxChunkOverheadBytes = 4096

// chunkedBody reads a body in chunked transfer coding (RFC 9112, section 7.1). It drops
// chunk extensions and trailers.
type chunkedBody struct {
	br *bufio.Reader
	// remaining is the number of unread bytes of the current chunk.
	remaining int64
	// started is set once the size of the first chunk is read, done once the trailers
	// are.
	started bool
	done    bool
	// err is the error of an earlier Read; the position in the byte stream is unknown after it.
	err error
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 && !b.done && b.err == nil {
		b.err = unexpectedEOF(b.nextChunk())
	}
	if b.err != nil {
		return 0, b.err
	}
	if b.done {
		return 0, io.EOF
	}
	var n int
	n, b.err = readUpTo(b.br, p, &b.remaining)
	return n, b.err
}

// nextChunk reads the size of the next chunk. For the last chunk, of size 0, it also
// reads the trailers and sets done.
func (b *chunkedBody) nextChunk() error {
	overheadLeft := maxChunkOverheadBytes
	if b.started {
		line, err := readLine(b.br, &overheadLeft)
		if err != nil {
			return err
		}
		if line != "" {
			return fmt.Errorf("%w: chunk longer than its size", ErrFraming)
		}
	}
	b.started = true
	line, err := readLine(b.br, &overheadLeft)
	if err != nil {
		return err
	}
	if b.remaining, err = parseChunkSize(line); err != nil {
		return err
	}
	if b.remaining > 0 {
		return nil
	}
	b.done = true
	_, err = readFields(b.br, &overheadLeft)
	return err
}

// maxChunkSizeDigits keeps the size of a chunk below 4 GiB.
const maxChunkSizeDigits = 8

// parseChunkSize returns the size in a chunk size line, in bytes. It ignores chunk
// extensions.
func parseChunkSize(line string) (int64, error) {
	size, extension, _ := strings.Cut(line, ";")
	if _, found := CutStatusLine(extension); found || !isFieldValue(extension) {
		return 0, fmt.Errorf("%w: chunk extension", ErrFraming)
	}
	if size == "" || len(size) > maxChunkSizeDigits || strings.Trim(size, "0123456789abcdefABCDEF") != "" {
		return 0, fmt.Errorf("%w: chunk size %q", ErrFraming, size)
	}
	return strconv.ParseInt(size, 16, 64)
}

// BodyReady reports whether the next Read of a body that Response.Body returned gives bytes without
// waiting for the connection. It may return false although it would.
func BodyReady(body io.Reader) bool {
	switch b := body.(type) {
	case *fixedLengthBody:
		return b.remaining > 0 && b.br.Buffered() > 0
	case *chunkedBody:
		return !b.done && b.ready()
	case *bufio.Reader:
		return b.Buffered() > 0
	}
	return false
}

// ready reports whether data of the current or the next chunk is buffered.
func (b *chunkedBody) ready() bool {
	if b.remaining > 0 {
		return b.br.Buffered() > 0
	}
	// Peek does not fail or read for as many bytes as are buffered.
	buffered, _ := b.br.Peek(b.br.Buffered())
	if b.started {
		rest, ok := bytes.CutPrefix(buffered, []byte("\r\n"))
		if !ok {
			return false
		}
		buffered = rest
	}
	line, data, ok := bytes.Cut(buffered, []byte("\r\n"))
	if !ok || len(data) == 0 {
		return false
	}
	size, err := parseChunkSize(string(line))
	return err == nil && size > 0
}
