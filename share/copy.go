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

// Copies answers peers that can't reach the source. Set the fields before use.
type Copies struct {
	Copy func() (c roster.Copy, proof time.Duration)
}

// ServeHTTP writes a copy of what is believed.
func (s *Copies) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	c, age := s.Copy()
	p := page{Age: age.Milliseconds() + 1, Fresh: c.Fresh, Routing: c.Routing, Instances: c.Instances, Version: c.Version}
	for _, f := range c.Facts {
		p.Facts = append(p.Facts, published{Kind: uint8(f.Kind), Name: f.Name, Revision: f.Revision, Raw: f.Raw})
	}
	raw, err := cbor.Marshal(p)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(raw)
}

// Fetched is a copy from a peer.
type Fetched struct {
	roster.Copy
	// Age of the peer's proof when it answered.
	Age   time.Duration
	Bytes int
}

// FetchCopy asks a peer for a copy.
func FetchCopy(ctx context.Context, address string, dial func(ctx context.Context, network, address string) (net.Conn, error), d chestnutstep.Decoder) (*Fetched, error) {
	ctx, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/copy", nil)
	if err != nil {
		return nil, errors.Wrap(err, "copy")
	}
	client := &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "copy")
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, copyMost))
	if err != nil {
		return nil, errors.Wrap(err, "copy")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("copy: status %d", resp.StatusCode)
	}
	var p page
	if err := cbor.Unmarshal(raw, &p); err != nil {
		return nil, errors.Wrap(err, "copy")
	}
	f := &Fetched{Age: time.Duration(p.Age) * time.Millisecond, Bytes: len(raw)}
	f.Copy = roster.Copy{Fresh: p.Fresh, Routing: p.Routing, Instances: p.Instances, Version: p.Version}
	for _, x := range p.Facts {
		f.Facts = append(f.Facts, d.Decode(chestnutstep.FactKind(x.Kind), x.Name, x.Revision, x.Raw))
	}
	return f, nil
}
