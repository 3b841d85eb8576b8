package share

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"chestnutstep.example/chestnutstep/fetch"
)

// copiesMost is how many peers are answered at a time: a copy may take seconds of a host's
// link, and whoever has one can give it to the others.
const copiesMost = 2

// cachesLimits bound the fetching of a peer's lists.
var cachesLimits = fetch.Limits{First: time.Second, Idle: time.Second, Most: 8 << 20}

// CachesPath is the path at which an entry serves what it knows of targets' caches.
const CachesPath = "/caches"

// Caches answers peers that have just started. Set the fields before use.
type Caches struct {
	// Lists returns what is known of targets' caches.
	Lists func() []List

	open atomic.Int32
}

// ServeHTTP writes the lists.
func (s *Caches) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if s.open.Add(1) > copiesMost {
		s.open.Add(-1)
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	defer s.open.Add(-1)
	raw, err := cbor.Marshal(s.Lists())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// An error here is the reader's: it sees that the answer is cut.
	_, _ = w.Write(raw)
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// FetchCaches asks a peer what targets hold, and returns the size of the answer in bytes.
func FetchCaches(ctx context.Context, address string, dial Dial) (lists []List, n int, err error) {
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	a, err := fetch.Get(ctx, client, "http://"+address+CachesPath, cachesLimits)
	if err != nil {
		return nil, len(a.Body), errors.Wrap(err, "caches")
	}
	if a.Status != http.StatusOK {
		return nil, 0, errors.Newf("caches: status %d of %s", a.Status, address)
	}
	return lists, len(a.Body), errors.Wrap(cbor.Unmarshal(a.Body, &lists), "caches")
}
