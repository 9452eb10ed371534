package config

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protopath"
	"google.golang.org/protobuf/reflect/protorange"
)

// unknownFields returns an error for each message of m with fields that the schema does not
// have. Such a payload is rejected: a router that ignored the fields would have another
// configuration in force than the published one.
func unknownFields(m proto.Message) FieldErrors {
	var errs FieldErrors
	// Range returns only errors of the function, which returns none.
	_ = protorange.Range(m.ProtoReflect(), func(p protopath.Values) error {
		if last := p.Index(-1); last.Step.Kind() == protopath.UnknownAccessStep {
			errs = append(errs, unknownError(p.Path, last.Value.Bytes()))
		}
		return nil
	})
	return errs
}

// unknownError describes the first unknown field of the message at path.
func unknownError(path protopath.Path, unknown []byte) FieldError {
	// The first step is the root, and the last one is the access to the unknown fields.
	message := strings.TrimPrefix(path[1:len(path)-1].String(), ".")
	if message == "" {
		message = "configuration"
	}
	number, _, _ := protowire.ConsumeTag(unknown)
	return FieldError{Field: message, Value: fmt.Sprintf("field number %d", number), Allowed: "the fields of the schema"}
}
