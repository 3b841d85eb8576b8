package share

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fetch"
)

// maxCopies is the number of peers served concurrently. A copy can take seconds of a host's link,
// and a peer that has received one can serve others.
const maxCopies = 2

// cacheListsLimits bound the download of a peer's cache lists.
var cacheListsLimits = fetch.Limits{FirstByteTimeout: time.Second, IdleTimeout: time.Second, MaxBytes: 4 << 20}

// CacheListsPath is the HTTP path at which an entry serves its cache lists.
const CacheListsPath = "/caches"

// CacheServer serves the cache lists of this entry to peers that have just started. Its fields must
// be set before use.
type CacheServer struct {
	// Lists returns the known cached parts, one list per target.
	Lists func() []CacheList

	active atomic.Int32
}

// ServeHTTP writes the lists as CBOR. It responds with 503 while maxCopies peers are being served.
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
	// A failed write needs no handling here: the peer detects the truncated response.
	_, _ = w.Write(raw)
}

// DialFunc opens a network connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// FetchCacheLists downloads the cache lists of the peer at address. n is the size of the response
// body in bytes. It returns an error if the request fails, the status is not 200 or the body is not
// valid CBOR.
func FetchCacheLists(ctx context.Context, address string, dial DialFunc) (lists []CacheList, n int, err error) {
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true, MaxResponseHeaderBytes: chestnutstep.MaxHeadBytes}}
	a, err := fetch.Get(ctx, client, "http://"+address+CacheListsPath, cacheListsLimits)
	if err != nil {
		return nil, len(a.Body), errors.Wrap(err, "fetch cache lists")
	}
	if a.Status != http.StatusOK {
		return nil, 0, errors.Newf("fetch cache lists: status %d from %s", a.Status, address)
	}
	return lists, len(a.Body), errors.Wrap(cbor.Unmarshal(a.Body, &lists), "decode cache lists")
}
