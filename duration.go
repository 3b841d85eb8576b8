package chestnutstep

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is read and written as a Go duration string ("1.5s"),
// so that settings state their unit.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the duration as a JSON string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads the duration from a JSON string.
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
