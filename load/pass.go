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

// Proxy is the naive version that chestnutstep is measured against: one hop to
// a random target, no decisions, and plain retry if Tries is above 1. It
// doubles actions and passes short answers on as whole; tests show that.
type Proxy struct {
	// Targets are base URLs of engines, Services of plain services, which get
	// the paths that the services know.
	Targets, Services []string
	// MaxTries bounds the targets that a request is sent to.
	MaxTries int
	// Client calls targets; nil is a default one.
	Client *http.Client
	// PickIndex chooses a target, in place of chance, when set.
	PickIndex func(n int) int
}

// ServeHTTP passes one request on.
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
	// The workspace is named by the key: this version checks no one.
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
