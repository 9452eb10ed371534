// Package jsonlog provides a go-kit logger that writes JSON lines with zerolog, which needs less processor
// time than go-kit's own encoder.
package jsonlog

import (
	"encoding"
	"encoding/json"
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/rs/zerolog"
)

// logger implements log.Logger.
type logger struct {
	out zerolog.Logger
}

// New returns a logger that writes each call of Log as one line, in one Write. It is safe for concurrent
// use if w is. Of fields with the same key only the last one is written.
func New(w io.Writer) log.Logger { return logger{zerolog.New(w)} }

// Log writes a line with alternating keys and values. It always returns nil.
func (l logger) Log(keyvals ...any) error {
	line := l.out.Log()
	for i := 0; i < len(keyvals); i += 2 {
		key := keyvals[i]
		if isRepeated(keyvals[i+1:], key) {
			continue
		}
		if i+1 < len(keyvals) {
			addField(line, text(key), keyvals[i+1])
		} else {
			addField(line, text(key), log.ErrMissingValue)
		}
	}
	line.Send()
	return nil
}

// isRepeated reports whether a key is among the keys in rest, which begins with a value.
func isRepeated(rest []any, key any) bool {
	name, ok := key.(string)
	for i := 1; ok && i < len(rest); i += 2 {
		if rest[i] == name {
			return true
		}
	}
	return false
}

// text returns the name of a field.
func text(key any) string {
	if s, ok := key.(string); ok {
		return s
	}
	return fmt.Sprint(key)
}

// addField adds a field to a line. Errors and Stringers are written as their texts, unless they have an
// encoding of their own, as by go-kit.
func addField(line *zerolog.Event, key string, value any) {
	switch v := value.(type) {
	case string:
		line.Str(key, v)
	case int:
		line.Int(key, v)
	case int64:
		line.Int64(key, v)
	case uint64:
		line.Uint64(key, v)
	case float64:
		line.Float64(key, v)
	case bool:
		line.Bool(key, v)
	case json.Marshaler:
		line.Any(key, v)
	case encoding.TextMarshaler:
		b, err := v.MarshalText()
		if err != nil {
			line.Str(key, err.Error())
			return
		}
		line.Bytes(key, b)
	case error:
		line.Str(key, v.Error())
	case fmt.Stringer:
		line.Str(key, v.String())
	default:
		line.Any(key, v)
	}
}
