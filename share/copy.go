package share

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// cachesLimit bounds the fetching of a peer's lists.
	cachesLimit = 2 * time.Second
	// cachesMost bounds them in bytes.
	cachesMost = 8 << 20
	// copiesMost is how many peers are answered at a time: a copy may take seconds of a host's
	// link, and whoever has one can give it to the others.
	copiesMost = 2
)

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
	ctx, cancel := context.WithTimeout(ctx, cachesLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+CachesPath, nil)
	if err != nil {
		return nil, 0, errors.Wrap(err, "caches")
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, 0, errors.Wrap(err, "caches")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, cachesMost))
	if err != nil {
		return nil, 0, errors.Wrap(err, "caches")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, errors.Newf("caches: status %d of %s", resp.StatusCode, address)
	}
	return lists, len(raw), errors.Wrap(cbor.Unmarshal(raw, &lists), "caches")
}
