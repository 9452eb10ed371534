package h1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

// readFields reads header fields or trailers up to and including the empty line. It
// subtracts the bytes read from *remaining and returns ErrHeaderTooLarge once that is
// negative.
func readFields(br *bufio.Reader, remaining *int) (Header, error) {
	var h Header
	for {
		line, err := readLine(br, remaining)
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

// readLine returns a line without its CRLF and subtracts the bytes read from *remaining.
// It refuses a line feed without a carriage return, since parsers differ in whether it
// ends a line. It returns io.EOF only if the connection ended before the first byte of
// the line.
func readLine(br *bufio.Reader, remaining *int) (string, error) {
	var longLine []byte
	for {
		fragment, err := br.ReadSlice('\n')
		*remaining -= len(fragment)
		if *remaining < 0 {
			return "", ErrHeaderTooLarge
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			longLine = append(longLine, fragment...)
			continue
		}
		if err != nil {
			if len(longLine)+len(fragment) > 0 {
				err = unexpectedEOF(err)
			}
			return "", err
		}
		if longLine != nil {
			fragment = append(longLine, fragment...)
		}
		if len(fragment) < 2 || fragment[len(fragment)-2] != '\r' {
			return "", fmt.Errorf("%w: line without a carriage return", ErrSyntax)
		}
		return string(fragment[:len(fragment)-2]), nil
	}
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, so that a connection that ends
// within a message is not taken for the end of that message.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseVersion returns the minor version of an HTTP/1 version.
func parseVersion(s string) (int, error) {
	switch s {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	return 0, fmt.Errorf("%w: version %q", ErrSyntax, s)
}
