package config_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/config"
)

// The settings file changes while the process starts: after it was read, and before it is
// looked at for the first time. Operators see new bounds in the file, and the process goes
// on with the old ones until the next change. A file that is broken by then is told as well.
func TestReloaderNoticesAChangeBeforeItsFirstLook(t *testing.T) {
	for _, now := range []string{"second", "broken"} {
		file := filepath.Join(t.TempDir(), "settings")
		assert.NilError(t, os.WriteFile(file, []byte(now), 0o600))
		heard := make(chan string, 8)
		r := &config.Reloader{
			Path: file, Read: []byte("first"), Every: time.Millisecond,
			Parse: func(string) (*config.Direct, error) {
				if now == "broken" {
					return nil, errors.New("broken")
				}
				return &config.Direct{Name: now}, nil
			},
			Changed: func(s *config.Direct) { heard <- s.Name },
			Refused: func(err error) { heard <- err.Error() },
		}
		ctx, cancel := context.WithCancel(context.Background())
		go r.Loop(ctx)
		select {
		case got := <-heard:
			assert.Equal(t, got, now)
		case <-time.After(10 * time.Second):
			t.Error("the change was never noticed")
		}
		cancel()
	}
}
