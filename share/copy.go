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

// maxCopies is how many peers are answered at a time: a copy may take seconds of a host's
// link, and whoever has one can give it to the others.
const maxCopies = 2

// cacheListsLimits bound the fetching of a peer's lists.
var cacheListsLimits = fetch.Limits{FirstByteTimeout: time.Second, IdleTimeout: time.Second, MaxBytes: 8 << 20}

// CacheListsPath is the path at which an entry serves what it knows of targets' caches.
const CacheListsPath = "/caches"

// CacheServer answers peers that have just started. Set the fields before use.
type CacheServer struct {
	// Lists returns what is known of targets' caches.
	Lists func() []CacheList

	active atomic.Int32
}

// ServeHTTP writes the lists.
func (s *CacheServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if s.active.Add(1) > maxCopies {
		s.active.Add(-1)
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	defer s.active.Add(-1)
	raw, err := cbor.Marshal(s.Lists())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// An error here is the reader's: it sees that the answer is cut.
	_, _ = w.Write(raw)
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// FetchCacheLists asks a peer what targets hold, and returns the size of the answer in bytes.
func FetchCacheLists(ctx context.Context, address string, dial DialFunc) (lists []CacheList, n int, err error) {
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	a, err := fetch.Get(ctx, client, "http://"+address+CacheListsPath, cacheListsLimits)
	if err != nil {
		return nil, len(a.Body), errors.Wrap(err, "caches")
	}
	if a.Status != http.StatusOK {
		return nil, 0, errors.Newf("caches: status %d of %s", a.Status, address)
	}
	return lists, len(a.Body), errors.Wrap(cbor.Unmarshal(a.Body, &lists), "caches")
}
