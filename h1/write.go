package h1

import (
	"net/http"
	"strconv"
)

// AppendRequestHead appends a request line, the fields and the empty line to dst. It adds
// Content-Length for a body of length bytes, so that h must hold end-to-end fields only.
func AppendRequestHead(dst []byte, method, target string, h Header, length int) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\n"...)
	dst = appendFields(dst, h)
	if length > 0 || method == "POST" || method == "PUT" || method == "PATCH" {
		dst = appendField(dst, "Content-Length", strconv.Itoa(length))
	}
	return append(dst, "\r\n"...)
}

// AppendResponseHead appends a status line, the fields and the empty line to dst. It adds
// no field: h must say how the body is framed.
func AppendResponseHead(dst []byte, status int, h Header) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, http.StatusText(status)...)
	dst = append(dst, "\r\n"...)
	dst = appendFields(dst, h)
	return append(dst, "\r\n"...)
}

// AppendChunk appends data as one chunk of a chunked body to dst. Data must not be empty,
// as an empty chunk ends the body.
func AppendChunk(dst, data []byte) []byte {
	dst = AppendChunkHead(dst, len(data))
	dst = append(dst, data...)
	return append(dst, ChunkEnd...)
}

// AppendChunkHead appends what comes before the data of a chunk of size bytes to dst. ChunkEnd comes after it.
func AppendChunkHead(dst []byte, size int) []byte {
	dst = strconv.AppendInt(dst, int64(size), 16)
	return append(dst, "\r\n"...)
}

// ChunkEnd is the end of a chunk.
const ChunkEnd = "\r\n"

// LastChunk is the end of a chunked body without trailers.
const LastChunk = "0\r\n\r\n"

func appendFields(dst []byte, h Header) []byte {
	for _, f := range h {
		dst = appendField(dst, f.Name, f.Value)
	}
	return dst
}

func appendField(dst []byte, name, value string) []byte {
	dst = append(dst, name...)
	dst = append(dst, ": "...)
	dst = append(dst, value...)
	return append(dst, "\r\n"...)
}
