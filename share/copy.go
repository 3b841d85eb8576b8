package share

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// cachesLimit bounds the fetching of a peer's lists.
	cachesLimit = 2 * time.Second
	// cachesMost bounds them in bytes.
	cachesMost = 8 << 20
)

// CachesPath is the path at which an entry serves what it knows of targets' caches.
const CachesPath = "/caches"

// Caches answers peers that have just started. Set the fields before use.
type Caches struct {
	// Lists returns what is known of targets' caches.
	Lists func() []List
}

// ServeHTTP writes the lists.
func (s *Caches) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
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
