package chestnutstep

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that reads and writes as Go writes it ("1.5s"),
// so that no setting needs its unit guessed.
type Duration time.Duration

// Std returns the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a duration from text.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Newf("a duration is text such as \"1.5s\", not %s", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Newf("a duration is text such as \"1.5s\", not %q", s)
	}
	*d = Duration(v)
	return nil
}
