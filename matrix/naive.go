package matrix

import (
	"bytes"
	"hash/fnv"
	"io"
	"net/http"
	"slices"

	"chestnutstep.example/chestnutstep"
)

// naiveProxy is the proxy that the fleet is compared with. It selects a target by the hash of the
// chat and retries failed requests on the next target.
type naiveProxy struct {
	breakpoint *Breakpoint
	// targets lists the addresses of each model's targets.
	targets map[string][]address
}

// doneMarker is in the last event of an answer of the chat profile.
const doneMarker = "event: done"

type address struct {
	name string
	url  string
}

// ServeHTTP forwards a request to the first target that answers it without a server error.
func (n *naiveProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Header.Get(chestnutstep.HeaderChat)))
	list := n.targets[r.Header.Get(chestnutstep.HeaderProfile)]
	first := int(h.Sum32()) % len(list)
	order := append(slices.Clone(list[first:]), list[:first]...)
	for _, a := range order {
		if n.try(w, r, a, body) {
			return
		}
	}
	w.WriteHeader(http.StatusBadGateway)
}

func (n *naiveProxy) try(w http.ResponseWriter, r *http.Request, a address, body []byte) bool {
	rq, err := http.NewRequestWithContext(r.Context(), r.Method, a.url+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	rq.Header = r.Header.Clone()
	rq.Header.Set(chestnutstep.HeaderRequestID, r.Header.Get(chestnutstep.HeaderIdempotencyKey))
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return false
	}
	defer rs.Body.Close()
	if rs.StatusCode >= http.StatusInternalServerError {
		return false
	}
	w.WriteHeader(rs.StatusCode)
	n.copy(w, rs.Body, a.name)
	return true
}

func (n *naiveProxy) copy(w http.ResponseWriter, body io.Reader, target string) {
	buf := make([]byte, 1<<10)
	var text []byte
	var err error
	for i := 1; err == nil; i++ {
		var k int
		k, err = body.Read(buf)
		_, _ = w.Write(buf[:k])
		_ = http.NewResponseController(w).Flush()
		// If this process stood still, one read returns all of the answer, and no fault can break it any more.
		text = append(text, buf[:k]...)
		hasAll := bytes.Contains(text, []byte(doneMarker))
		if i == 1 && !hasAll {
			n.breakpoint.Reach(StepFirst, target)
		}
		if i == middleFrame && !hasAll {
			n.breakpoint.Reach(StepMiddle, target)
		}
	}
	n.breakpoint.Reach(StepLast, target)
	n.breakpoint.Reach(StepLost, target)
}
