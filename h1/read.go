package h1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Request is the head of a request and, once ReadBody has returned, its body.
type Request struct {
	Method string
	// Target is the request target as it was sent.
	Target string
	// Minor is the minor version: 0 or 1.
	Minor  int
	Header Header
	Body   []byte

	framing framing
}

// Response is the head of a response.
type Response struct {
	Status int
	Reason string
	Minor  int
	Header Header

	framing framing
}

type framing struct {
	kind   framingKind
	length int64
}

type framingKind int

const (
	noBody framingKind = iota
	sized
	chunked
	untilClose
)

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// KeepAlive reports whether the client lets the connection serve another
// request.
func (r *Request) KeepAlive() bool {
	if r.Minor == 0 {
		return r.Header.HasToken("Connection", "keep-alive")
	}
	return !r.Header.HasToken("Connection", "close")
}

// HasBody reports whether a body follows the head.
func (r *Request) HasBody() bool {
	return r.framing.kind == chunked || r.framing.length > 0
}

// ReadRequest reads the head of a request of at most maxBytes bytes. It returns
// io.EOF if the connection ended before the first byte.
func ReadRequest(br *bufio.Reader, maxBytes int) (*Request, error) {
	left := maxBytes
	line, err := readLine(br, &left)
	for err == nil && line == "" {
		line, err = readLine(br, &left)
	}
	if err != nil {
		return nil, err
	}
	req, err := parseRequestLine(line)
	if err != nil {
		return nil, err
	}
	if req.Header, err = readFields(br, &left); err != nil {
		return nil, midMessage(err)
	}
	if req.Minor == 1 && req.Header.Count("Host") != 1 {
		return nil, fmt.Errorf("%w: not exactly one Host field", ErrSyntax)
	}
	if req.framing, err = requestFraming(req); err != nil {
		return nil, err
	}
	return req, nil
}

func parseRequestLine(line string) (*Request, error) {
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isToken(method) {
		return nil, fmt.Errorf("%w: request line", ErrSyntax)
	}
	if !strings.HasPrefix(target, "/") || !isTarget(target) {
		return nil, fmt.Errorf("%w: request target", ErrSyntax)
	}
	minor, err := parseVersion(version)
	if err != nil {
		return nil, err
	}
	return &Request{Method: method, Target: target, Minor: minor}, nil
}

func isTarget(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

func parseVersion(s string) (int, error) {
	switch s {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	return 0, fmt.Errorf("%w: version %q", ErrSyntax, s)
}

func requestFraming(req *Request) (framing, error) {
	coded := req.Header.Count("Transfer-Encoding")
	sizes := req.Header.Count("Content-Length")
	switch {
	case coded == 0 && sizes == 0:
		return framing{kind: noBody}, nil
	case coded > 0 && sizes > 0:
		return framing{}, fmt.Errorf("%w: length beside a transfer coding", ErrFraming)
	case coded > 0:
		if req.Minor == 0 || coded > 1 || !strings.EqualFold(req.Header.Get("Transfer-Encoding"), "chunked") {
			return framing{}, fmt.Errorf("%w: transfer coding", ErrFraming)
		}
		return framing{kind: chunked}, nil
	}
	return sizedFraming(req.Header, sizes)
}

func sizedFraming(h Header, sizes int) (framing, error) {
	if sizes > 1 {
		return framing{}, fmt.Errorf("%w: several lengths", ErrFraming)
	}
	length, err := parseLength(h.Get("Content-Length"))
	if err != nil {
		return framing{}, err
	}
	return framing{kind: sized, length: length}, nil
}

// maxLengthDigits keeps a length within an int64.
const maxLengthDigits = 18

func parseLength(s string) (int64, error) {
	if s == "" || len(s) > maxLengthDigits || strings.Trim(s, "0123456789") != "" {
		return 0, fmt.Errorf("%w: length %q", ErrFraming, s)
	}
	return strconv.ParseInt(s, 10, 64)
}

// ReadBody reads the whole body into r.Body. It returns ErrBodyTooLarge without
// reading when the stated length exceeds maxBytes.
func (r *Request) ReadBody(br *bufio.Reader, maxBytes int64) error {
	if r.framing.length > maxBytes {
		return ErrBodyTooLarge
	}
	if r.framing.kind == noBody {
		return nil
	}
	if r.framing.kind == sized {
		r.Body = make([]byte, r.framing.length)
		_, err := io.ReadFull(br, r.Body)
		return midMessage(err)
	}
	body, err := io.ReadAll(io.LimitReader(newBody(br, r.framing), maxBytes+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > maxBytes {
		return ErrBodyTooLarge
	}
	r.Body = body
	return nil
}

// SkipBody reads past the body, of at most maxBytes bytes.
func (r *Request) SkipBody(br *bufio.Reader, maxBytes int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(newBody(br, r.framing), maxBytes+1))
	if err == nil && n > maxBytes {
		return ErrBodyTooLarge
	}
	return err
}

// ReadResponse reads the head of a response to a request with the given method.
// Interim responses (1xx) are passed over.
func ReadResponse(br *bufio.Reader, method string, maxBytes int) (*Response, error) {
	for {
		resp, err := readResponseHead(br, maxBytes)
		if err != nil {
			return nil, err
		}
		if resp.Status >= 200 {
			resp.framing, err = responseFraming(resp, method)
			return resp, err
		}
		if resp.Status == 101 {
			return nil, fmt.Errorf("%w: unasked upgrade", ErrSyntax)
		}
	}
}

func readResponseHead(br *bufio.Reader, maxBytes int) (*Response, error) {
	left := maxBytes
	line, err := readLine(br, &left)
	if err != nil {
		return nil, err
	}
	resp, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	if resp.Header, err = readFields(br, &left); err != nil {
		return nil, midMessage(err)
	}
	return resp, nil
}

func parseStatusLine(line string) (*Response, error) {
	version, rest, _ := strings.Cut(line, " ")
	minor, err := parseVersion(version)
	if err != nil {
		return nil, err
	}
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 {
		return nil, fmt.Errorf("%w: status %q", ErrSyntax, code)
	}
	return &Response{Status: status, Reason: reason, Minor: minor}, nil
}

func responseFraming(resp *Response, method string) (framing, error) {
	if method == "HEAD" || resp.Status == 204 || resp.Status == 304 {
		return framing{kind: noBody}, nil
	}
	coded := resp.Header.Count("Transfer-Encoding")
	sizes := resp.Header.Count("Content-Length")
	switch {
	case coded > 0 && sizes > 0:
		return framing{}, fmt.Errorf("%w: length beside a transfer coding", ErrFraming)
	case coded > 0:
		if coded > 1 || !strings.EqualFold(resp.Header.Get("Transfer-Encoding"), "chunked") {
			return framing{}, fmt.Errorf("%w: transfer coding", ErrFraming)
		}
		return framing{kind: chunked}, nil
	case sizes > 0:
		return sizedFraming(resp.Header, sizes)
	}
	return framing{kind: untilClose}, nil
}

// Length returns the stated length of the body, or -1 if none is stated.
func (r *Response) Length() int64 {
	switch r.framing.kind {
	case sized:
		return r.framing.length
	case noBody:
		return 0
	}
	return -1
}

// Reusable reports whether the connection may carry another request once the
// body was read to its end.
func (r *Response) Reusable() bool {
	return r.Minor == 1 && r.framing.kind != untilClose && !r.Header.HasToken("Connection", "close")
}

// Body returns the reader of the response's body. It returns io.EOF only if the
// whole body was read; a body that is cut short ends with another error.
func (r *Response) Body(br *bufio.Reader) io.Reader {
	return newBody(br, r.framing)
}

func newBody(br *bufio.Reader, f framing) io.Reader {
	switch f.kind {
	case sized:
		return &sizedBody{br: br, left: f.length}
	case chunked:
		return &chunkedBody{br: br}
	case untilClose:
		return br
	}
	return eofReader{}
}

type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

type sizedBody struct {
	br   *bufio.Reader
	left int64
}

func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.br.Read(p)
	b.left -= int64(n)
	return n, midMessage(err)
}

// maxTrailerBytes bounds chunk size lines and trailers.
const maxTrailerBytes = 4096

type chunkedBody struct {
	br *bufio.Reader
	// left is what remains of the current chunk.
	left  int64
	begun bool
	done  bool
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	if b.left == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, midMessage(err)
		}
		if b.done {
			return 0, io.EOF
		}
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.br.Read(p)
	b.left -= int64(n)
	return n, midMessage(err)
}

func (b *chunkedBody) nextChunk() error {
	limit := maxTrailerBytes
	if b.begun {
		line, err := readLine(b.br, &limit)
		if err != nil {
			return err
		}
		if line != "" {
			return fmt.Errorf("%w: chunk longer than its size", ErrFraming)
		}
	}
	b.begun = true
	line, err := readLine(b.br, &limit)
	if err != nil {
		return err
	}
	if b.left, err = parseChunkSize(line); err != nil {
		return err
	}
	if b.left > 0 {
		return nil
	}
	b.done = true
	_, err = readFields(b.br, &limit)
	return err
}

// maxChunkDigits keeps a chunk below 4 GiB.
const maxChunkDigits = 8

func parseChunkSize(line string) (int64, error) {
	size, _, _ := strings.Cut(line, ";")
	if size == "" || len(size) > maxChunkDigits || strings.Trim(size, "0123456789abcdefABCDEF") != "" {
		return 0, fmt.Errorf("%w: chunk size %q", ErrFraming, size)
	}
	return strconv.ParseInt(size, 16, 64)
}

func readFields(br *bufio.Reader, left *int) (Header, error) {
	var h Header
	for {
		line, err := readLine(br, left)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return h, nil
		}
		f, err := parseField(line)
		if err != nil {
			return nil, err
		}
		h = append(h, f)
	}
}

// readLine returns a line without its CRLF. A bare line feed is refused: two
// parsers may disagree about it.
func readLine(br *bufio.Reader, left *int) (string, error) {
	var long []byte
	for {
		part, err := br.ReadSlice('\n')
		*left -= len(part)
		if *left < 0 {
			return "", ErrHeaderTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, part...)
			continue
		}
		if err != nil {
			if len(long)+len(part) > 0 {
				err = midMessage(err)
			}
			return "", err
		}
		if long != nil {
			part = append(long, part...)
		}
		if len(part) < 2 || part[len(part)-2] != '\r' {
			return "", fmt.Errorf("%w: line without a carriage return", ErrSyntax)
		}
		return string(part[:len(part)-2]), nil
	}
}

// midMessage turns the end of the connection within a message into an error of
// its own, so that it never looks like a whole message.
func midMessage(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
