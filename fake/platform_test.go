package fake

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	res, err := http.Get(url)
	assert.NilError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, res.Header.Get("Version") + " " + string(body)
}

// TestPlatform checks reads, long polls, the modes of failure, the host list and
// the call counts of the fake platform.
func TestPlatform(t *testing.T) {
	var p Platform
	srv := httptest.NewServer(&p)
	defer srv.Close()
	want := func(path string, status int, body string) {
		t.Helper()
		gotStatus, gotBody := get(t, srv.URL+path)
		assert.Equal(t, gotStatus, status)
		if body != "" {
			assert.Equal(t, gotBody, body)
		}
	}
	want("/v/chestnut/root", 404, "")
	p.Put("chestnut/root", []byte("one"))
	want("/v/chestnut/root", 200, "1 one")
	want("/v/chestnut/root?after=1&wait=1ms", 304, "1 ")

	done := make(chan string)
	go func() {
		_, body := get(t, srv.URL+"/v/chestnut/root?after=1&wait=20s")
		done <- body
	}()
	for p.Calls().Watch < 2 {
		time.Sleep(time.Millisecond)
	}
	p.Put("chestnut/root", []byte("two"))
	assert.Equal(t, <-done, "2 two")

	p.SetMode(Mode{Stale: 1})
	want("/v/chestnut/root", 200, "1 one")
	want("/v/chestnut/root?after=2&wait=1ms", 304, "1 ")
	p.SetMode(Mode{Down: true})
	want("/v/chestnut/root", 503, "")
	p.SetMode(Mode{})

	p.SetHost("a1", HostLive)
	p.SetHost("a2", HostLive)
	p.SetHost("a1", HostLeaving)
	want("/hosts", 200, " [{\"host\":\"a2\",\"state\":\"live\"},{\"host\":\"a1\",\"state\":\"leaving\"}]\n")
	p.SetMode(Mode{Lag: 1 << 60})
	p.SetHost("a2", "")
	want("/hosts", 200, " [{\"host\":\"a2\",\"state\":\"live\"},{\"host\":\"a1\",\"state\":\"leaving\"}]\n")

	res, err := http.Post(srv.URL+"/v/chestnut/root", "", nil)
	assert.NilError(t, err)
	res.Body.Close()
	assert.Equal(t, res.StatusCode, 405)
	assert.Equal(t, p.Calls(), Calls{Read: 3, Watch: 3, Hosts: 2, Refused: 1})
}
