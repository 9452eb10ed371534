package config

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protopath"
	"google.golang.org/protobuf/reflect/protorange"
)

// unknownFields returns the fields of a decoded message that the schema does
// not have. They are mistakes: a router that left them out would have another
// configuration in force than the one that was published.
func unknownFields(m proto.Message) FieldErrors {
	var errs FieldErrors
	// Range fails only if the function does.
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
	// The steps at the ends are the root and the access to unknown fields.
	message := strings.TrimPrefix(path[1:len(path)-1].String(), ".")
	if message == "" {
		message = "configuration"
	}
	number, _, _ := protowire.ConsumeTag(unknown)
	return FieldError{Field: message, Value: fmt.Sprintf("field number %d", number), Allowed: "the fields of the schema"}
}
