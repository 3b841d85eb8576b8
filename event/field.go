package event

import (
	"math"
	"time"

	"github.com/rs/zerolog"
)

// Field is one typed value of an event. There is no constructor for headers,
// bodies, keys or tickets: what has no field can't be logged by mistake.
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

// Str is a text that the system itself made: an address, a file, a state.
func Str(key, v string) Field { return Field{key: key, kind: kindText, text: v} }

// Int is a whole number.
func Int(key string, v int64) Field { return Field{key: key, kind: kindInt, bits: uint64(v)} }

// Uint is a whole number without sign.
func Uint(key string, v uint64) Field { return Field{key: key, kind: kindUint, bits: v} }

// Float is a number.
func Float(key string, v float64) Field {
	return Field{key: key, kind: kindFloat, bits: math.Float64bits(v)}
}

// Bool is a truth value.
func Bool(key string, v bool) Field {
	f := Field{key: key, kind: kindBool}
	if v {
		f.bits = 1
	}
	return f
}

// Dur is a duration, written as Go writes it.
func Dur(key string, v time.Duration) Field {
	return Field{key: key, kind: kindDuration, bits: uint64(v)}
}

// Err is an error, under the key "error".
func Err(err error) Field { return Field{key: "error", kind: kindErr, err: err} }

// Request is a request's id, masked.
func Request(id string) Field { return Str("request", Mask(id)) }

// Chat is a chat's id, masked.
func Chat(id string) Field { return Str("chat", Mask(id)) }

// Workspace is a workspace's published name.
func Workspace(name string) Field { return Str("workspace", name) }

// Profile is a profile's published name.
func Profile(name string) Field { return Str("profile", name) }

// Target is a target's published name.
func Target(name string) Field { return Str("target", name) }

// Reason is the code of a refusal or a broken answer.
func Reason[T ~string](reason T) Field { return Str("reason", string(reason)) }

// Version is a publication's version.
func Version(v uint64) Field { return Uint("version", v) }
