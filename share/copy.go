package share

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/roster"
)

const (
	// copyLimit bounds the fetching of a copy.
	copyLimit = 2 * time.Second
	// copyMost bounds a copy in bytes: the largest configuration and the list of
	// the planned 2,700 targets, with room.
	copyMost = 8 << 20
)

// page is a copy on its way.
type page struct {
	_ struct{} `cbor:",toarray"`
	// Age of the proof that the version is current, in milliseconds; -1 for none.
	Age       int64
	Fresh     bool
	Routing   uint64
	Instances uint64
	Version   uint64
	Facts     []published
}

// published is an entry as it was published.
type published struct {
	_        struct{} `cbor:",toarray"`
	Kind     uint8
	Name     string
	Revision uint64
	Raw      []byte
}

// Paths of the calls between entries.
const (
	copyPath   = "/copy"
	cachesPath = "/caches"
)

// Copies answers peers that can't reach the source, or have just started. Set the
// fields before use.
type Copies struct {
	Copy func() (c roster.Copy, proof time.Duration)
	// Caches lists what is known of targets' caches.
	Caches func() []List
}

// ServeHTTP writes a copy of what is believed.
func (s *Copies) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case copyPath:
		s.writeCopy(w)
	case cachesPath:
		write(w, s.Caches())
	default:
		http.NotFound(w, r)
	}
}

func (s *Copies) writeCopy(w http.ResponseWriter) {
	c, age := s.Copy()
	p := page{Age: age.Milliseconds() + 1, Fresh: c.Fresh, Routing: c.Routing, Instances: c.Instances, Version: c.Version}
	for _, f := range c.Facts {
		p.Facts = append(p.Facts, published{Kind: uint8(f.Kind), Name: f.Name, Revision: f.Revision, Raw: f.Raw})
	}
	write(w, p)
}

func write(w http.ResponseWriter, what any) {
	raw, err := cbor.Marshal(what)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// An error here is the reader's: it sees that the copy is cut.
	_, _ = w.Write(raw)
}

// Fetched is a copy from a peer.
type Fetched struct {
	roster.Copy
	// Age of the peer's proof when it answered.
	Age   time.Duration
	Bytes int
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// FetchCopy asks a peer for a copy of configuration and targets.
func FetchCopy(ctx context.Context, address string, dial Dial, d chestnutstep.Decoder) (*Fetched, error) {
	var p page
	n, err := fetch(ctx, "http://"+address+copyPath, dial, &p)
	if err != nil {
		return nil, errors.Wrap(err, "copy")
	}
	f := &Fetched{Age: time.Duration(p.Age) * time.Millisecond, Bytes: n}
	f.Copy = roster.Copy{Fresh: p.Fresh, Routing: p.Routing, Instances: p.Instances, Version: p.Version}
	for _, x := range p.Facts {
		f.Facts = append(f.Facts, d.Decode(chestnutstep.FactKind(x.Kind), x.Name, x.Revision, x.Raw))
	}
	return f, nil
}

// FetchCaches asks a peer what targets hold, and says how many bytes that took.
func FetchCaches(ctx context.Context, address string, dial Dial) (lists []List, n int, err error) {
	n, err = fetch(ctx, "http://"+address+cachesPath, dial, &lists)
	return lists, n, errors.Wrap(err, "caches")
}

// fetch reads a peer's answer into a value, and returns its size in bytes.
func fetch(ctx context.Context, url string, dial Dial, into any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, copyMost))
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Newf("status %d", resp.StatusCode)
	}
	return len(raw), cbor.Unmarshal(raw, into)
}
