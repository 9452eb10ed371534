package h1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

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

func parseVersion(s string) (int, error) {
	switch s {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	return 0, fmt.Errorf("%w: version %q", ErrSyntax, s)
}
