package event

import (
	"math"
	"time"

	"github.com/rs/zerolog"
)

// Field is one typed value of an event. There are no constructors for headers,
// bodies, keys or tickets, so that these are not logged by mistake.
type Field struct {
	key  string
	kind kind
	text string
	bits uint64
	err  error
}

type kind uint8

const (
	kindText kind = iota
	kindInt
	kindUint
	kindFloat
	kindBool
	kindDuration
	kindErr
)

func (f Field) appendTo(line *zerolog.Event) *zerolog.Event {
	switch f.kind {
	case kindInt:
		return line.Int64(f.key, int64(f.bits))
	case kindUint:
		return line.Uint64(f.key, f.bits)
	case kindFloat:
		return line.Float64(f.key, math.Float64frombits(f.bits))
	case kindBool:
		return line.Bool(f.key, f.bits != 0)
	case kindDuration:
		return line.Str(f.key, time.Duration(f.bits).String())
	case kindErr:
		return line.AnErr(f.key, f.err)
	default:
		return line.Str(f.key, f.text)
	}
}

// Str returns a text field for a value made by the system itself: an address, a file, a state.
func Str(key, v string) Field { return Field{key: key, kind: kindText, text: v} }

// Int returns an integer field.
func Int(key string, v int64) Field { return Field{key: key, kind: kindInt, bits: uint64(v)} }

// Uint returns an unsigned integer field.
func Uint(key string, v uint64) Field { return Field{key: key, kind: kindUint, bits: v} }

// Float returns a floating-point field.
func Float(key string, v float64) Field {
	return Field{key: key, kind: kindFloat, bits: math.Float64bits(v)}
}

// Bool returns a boolean field.
func Bool(key string, v bool) Field {
	f := Field{key: key, kind: kindBool}
	if v {
		f.bits = 1
	}
	return f
}

// Dur returns a duration field, formatted as a Go duration string.
func Dur(key string, v time.Duration) Field {
	return Field{key: key, kind: kindDuration, bits: uint64(v)}
}

// Err returns an error field with the key "error".
func Err(err error) Field { return Field{key: "error", kind: kindErr, err: err} }

// Request returns a field with the masked id of a request.
func Request(id string) Field { return Str("request", Mask(id)) }

// Chat returns a field with the masked id of a chat.
func Chat(id string) Field { return Str("chat", Mask(id)) }

// Workspace returns a field with the published name of a workspace.
func Workspace(name string) Field { return Str("workspace", name) }

// Profile returns a field with the published name of a profile.
func Profile(name string) Field { return Str("profile", name) }

// Target returns a field with the published name of a target.
func Target(name string) Field { return Str("target", name) }

// Reason returns a field with the code of a refusal or a broken answer.
func Reason[T ~string](reason T) Field { return Str("reason", string(reason)) }

// Version returns a field with the version of a publication.
func Version(v uint64) Field { return Uint("version", v) }
