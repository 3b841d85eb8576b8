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

// TestReloaderDetectsChangeBeforeFirstCheck guards against a change of the settings file that is
// missed because it happens after the file was read at the start and before the first check.
// The process would keep the old settings until the next change. A file that is invalid by
// then must also be reported.
func TestReloaderDetectsChangeBeforeFirstCheck(t *testing.T) {
	for _, content := range []string{"second", "broken"} {
		file := filepath.Join(t.TempDir(), "settings")
		assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
		reports := make(chan string, 8)
		r := &config.Reloader{
			Path: file, Read: []byte("first"), Interval: time.Millisecond,
			Parse: func(string) (*config.DirectSettings, error) {
				if content == "broken" {
					return nil, errors.New("broken")
				}
				return &config.DirectSettings{Name: content}, nil
			},
			OnChange: func(s *config.DirectSettings) { reports <- s.Name },
			OnError:  func(err error) { reports <- err.Error() },
		}
		ctx, cancel := context.WithCancel(context.Background())
		go r.Run(ctx)
		select {
		case got := <-reports:
			assert.Equal(t, got, content)
		case <-time.After(10 * time.Second):
			t.Error("the change was not detected")
		}
		cancel()
	}
}
