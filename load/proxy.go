package load

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
)

// Proxy is the baseline that chestnutstep is compared with: one hop to a random
// target, no routing decisions, and plain retries if MaxTries is above 1. It
// can execute actions twice and passes truncated answers on as complete, as
// tests show.
type Proxy struct {
	// Targets are base URLs of engines. Services are base URLs of plain
	// services, which get the requests for /bookings, /edits and /slots.
	Targets, Services []string
	// MaxTries is the maximum number of attempts per request; values below 1
	// mean 1.
	MaxTries int
	// Client sends requests to targets; nil means http.DefaultClient.
	Client *http.Client
	// PickIndex chooses a target out of n; nil means a random choice.
	PickIndex func(n int) int
}

// ServeHTTP forwards one request. It answers with status 502 if all attempts
// fail.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	for range max(p.MaxTries, 1) {
		if p.forward(w, r, body) {
			return
		}
	}
	w.WriteHeader(http.StatusBadGateway)
}

func (p *Proxy) forward(w http.ResponseWriter, r *http.Request, body []byte) bool {
	out, err := http.NewRequestWithContext(r.Context(), r.Method, p.target(r.URL.Path)+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return false
	}
	out.Header.Set(chestnutstep.HeaderRequestID, r.Header.Get(chestnutstep.HeaderIdempotencyKey))
	out.Header.Set(chestnutstep.HeaderChat, r.Header.Get(chestnutstep.HeaderChat))
	// The key is passed on as the workspace, because the proxy doesn't check
	// keys.
	out.Header.Set(fake.HeaderWorkspace, strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
	res, err := p.client().Do(out)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	copyAnswer(w, res)
	return true
}

func (p *Proxy) target(path string) string {
	list := p.Targets
	switch path {
	case "/bookings", "/edits", "/slots":
		list = p.Services
	}
	if p.PickIndex != nil {
		return list[p.PickIndex(len(list))]
	}
	return list[rand.IntN(len(list))]
}

func (p *Proxy) client() *http.Client {
	if p.Client != nil {
		return p.Client
	}
	return http.DefaultClient
}

func copyAnswer(w http.ResponseWriter, res *http.Response) {
	w.Header().Set("Content-Type", res.Header.Get("Content-Type"))
	w.WriteHeader(res.StatusCode)
	c := http.NewResponseController(w)
	buf := make([]byte, 8<<10)
	for {
		n, err := res.Body.Read(buf)
		_, _ = w.Write(buf[:n])
		_ = c.Flush()
		if err != nil {
			return
		}
	}
}
