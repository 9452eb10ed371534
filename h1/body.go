package h1

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

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

// statedFraming returns the framing that the fields of a message state, noBody if they
// state none.
func statedFraming(h Header) (framing, error) {
	coded := h.Count("Transfer-Encoding")
	sizes := h.Count("Content-Length")
	switch {
	case coded > 0 && sizes > 0:
		return framing{}, fmt.Errorf("%w: length beside a transfer coding", ErrFraming)
	case coded > 1 || (coded == 1 && !strings.EqualFold(h.Get("Transfer-Encoding"), "chunked")):
		return framing{}, fmt.Errorf("%w: transfer coding", ErrFraming)
	case coded == 1:
		return framing{kind: chunked}, nil
	case sizes > 1:
		return framing{}, fmt.Errorf("%w: several lengths", ErrFraming)
	case sizes == 0:
		return framing{kind: noBody}, nil
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
	return readPart(b.br, p, &b.left)
}

// readPart reads from a part of a message of which left bytes remain.
func readPart(br *bufio.Reader, p []byte, left *int64) (int, error) {
	n, err := br.Read(p[:min(int64(len(p)), *left)])
	*left -= int64(n)
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
	return readPart(b.br, p, &b.left)
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
