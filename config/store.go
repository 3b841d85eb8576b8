package config

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
)

const (
	// maxRefused is the maximum number of refused publications that are recorded. Operators
	// correct a bad one within minutes; forgetting one only costs a second fetch.
	maxRefused = 64
	// maxPendingBytes is the maximum size of the parts that are held before their publication
	// is complete: several times the largest expected publication, and an eighth of
	// a process's memory.
	maxPendingBytes = 8 << 20
)

// Change describes a publication that was put in force.
type Change struct {
	Now time.Time
	// From is nil for the first one.
	From, To *chestnutstep.View
	Stamp    Stamp
	// Conflict reports that it replaced other content of the same version: two
	// operators published concurrently.
	Conflict bool
}

// Refusal describes a publication that was not put in force.
type Refusal struct {
	Now   time.Time
	Stamp Stamp
	Err   error
}

// ErrStale reports that a publication does not replace the one in force. It guards
// against a configuration service that returns outdated data, by which a domain that
// operators took out of service would receive requests again.
type ErrStale struct {
	Stamp, InForce Stamp
}

// Error names both publications.
func (err ErrStale) Error() string {
	return "publication " + err.Stamp.String() + " does not replace " + err.InForce.String()
}

// IsErrStale reports whether an error is an ErrStale.
func IsErrStale(err error) bool {
	return errors.As(err, new(ErrStale))
}

// ErrConflict reports a publication that ranks below another of the same version.
type ErrConflict struct {
	Stamp, InForce Stamp
}

// Error names both publications and the remedy.
func (err ErrConflict) Error() string {
	return "publication " + err.Stamp.String() + " and " + err.InForce.String() +
		" share a version and differ; publish a higher one"
}

// IsErrConflict reports whether an error is an ErrConflict.
func IsErrConflict(err error) bool {
	return errors.As(err, new(ErrConflict))
}

// Store holds the publication that is in force in this process. It only advances in
// the order of Stamp and applies each publication completely or not at all, regardless
// of the source and the order in which publications arrive. The zero value is empty
// and ready for use.
type Store struct {
	// OnChange and OnRefuse are called sequentially, in order, before Apply or Missing
	// returns; they must not call these methods. A refused publication is reported once.
	// They must be set before use.
	OnChange []func(Change)
	OnRefuse []func(Refusal)

	// view is read by every request, so reading it takes no lock.
	view atomic.Pointer[chestnutstep.View]

	// applyMu serializes Apply and Missing, and so the calls of the hooks.
	applyMu sync.Mutex

	mu           sync.Mutex
	stamp        Stamp
	root         []byte
	parts        map[string][]byte
	changed      chan struct{}
	refused      map[Stamp]error
	refusedOrder []Stamp // keys of refused, oldest first
	pending      pendingParts
}

// View returns the publication in force, or nil before the first.
func (s *Store) View() *chestnutstep.View { return s.view.Load() }

// Stamp returns the stamp of the publication in force; zero before the first.
func (s *Store) Stamp() Stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stamp
}

// Root returns the root in force, to send to peers; nil before the first.
func (s *Store) Root() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.root
}

// Part returns a part of the publication in force or of one that is not yet complete.
// Processes that start together thus get parts from each other, and not each of them
// reads all parts from the service.
func (s *Store) Part(hash string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.part(hash)
}

func (s *Store) part(hash string) ([]byte, bool) {
	if raw, ok := s.parts[hash]; ok {
		return raw, true
	}
	return s.pending.get(hash)
}

// Changed returns a channel that is closed at the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// ShouldFetch reports whether a publication would replace the one in force and was not
// refused before. A process calls it before it fetches anything.
func (s *Store) ShouldFetch(st Stamp) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stamp.Compare(st) < 0 && s.refused[st] == nil
}

// Missing lists the parts of a root that this process does not have. It returns an error
// if the root would be refused (ErrInvalid, ErrStale, ErrConflict).
func (s *Store) Missing(now time.Time, root []byte) ([]string, error) {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	r, err := s.checkRoot(root)
	if err != nil {
		return nil, s.reportRefusal(now, root, r, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := make(map[string]bool, len(r.Parts))
	var list []string
	for _, hash := range r.Parts {
		if _, ok := s.part(hash); ok || seen[hash] {
			continue
		}
		seen[hash] = true
		list = append(list, hash)
	}
	return list, nil
}

// AddPart holds a part until its publication is complete. The error is an ErrPart
// if the content does not match the hash or is too large.
func (s *Store) AddPart(hash string, raw []byte) error {
	if len(raw) > MaxValueBytes || Hash(raw) != hash {
		return ErrPart{Hash: hash}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending.add(hash, raw)
	return nil
}

// Apply puts a publication in force: the given parts and those already held must
// complete it. On an error the current one stays in force. After an ErrPart, Apply can be
// called again with the missing part; ErrInvalid, ErrStale and ErrConflict are final.
func (s *Store) Apply(now time.Time, root []byte, parts map[string][]byte) error {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	r, err := s.checkRoot(root)
	if err != nil {
		return s.reportRefusal(now, root, r, err)
	}
	complete, err := s.collectParts(r, parts)
	if err != nil {
		return err
	}
	p, err := Unpack(root, complete)
	if err != nil {
		return s.reportRefusal(now, root, r, err)
	}
	c := s.activate(now, r, root, complete, chestnutstep.NewView(p))
	for _, f := range s.OnChange {
		f(c)
	}
	return nil
}

// checkRoot makes all checks for which the root is sufficient.
func (s *Store) checkRoot(root []byte) (*Root, error) {
	digest := Hash(root)
	r, err := ParseRoot(root)
	if err != nil {
		return r, err
	}
	st := Stamp{Version: r.Version, Digest: digest}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.refused[st]; err != nil {
		return r, err
	}
	if s.stamp.Compare(st) < 0 {
		return r, nil
	}
	if s.stamp.Version == st.Version && s.stamp.Digest != st.Digest {
		return r, ErrConflict{Stamp: st, InForce: s.stamp}
	}
	return r, ErrStale{Stamp: st, InForce: s.stamp}
}

// collectParts joins the parts of a root from the given ones and those already held.
func (s *Store) collectParts(r *Root, given map[string][]byte) (map[string][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	complete := make(map[string][]byte, len(r.Parts))
	for _, hash := range r.Parts {
		raw, ok := s.part(hash)
		if !ok {
			raw, ok = given[hash]
		}
		if !ok {
			return nil, ErrPart{Hash: hash, Missing: true}
		}
		if Hash(raw) != hash {
			return nil, ErrPart{Hash: hash}
		}
		complete[hash] = raw
	}
	return complete, nil
}

func (s *Store) activate(now time.Time, r *Root, root []byte, parts map[string][]byte, v *chestnutstep.View) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	prev := s.stamp
	s.stamp = Stamp{Version: r.Version, Digest: Hash(root)}
	s.root, s.parts = root, parts
	s.pending.clear()
	c := Change{Now: now, From: s.view.Load(), To: v, Stamp: s.stamp, Conflict: prev.Version == r.Version}
	s.view.Store(v)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return c
}

// reportRefusal records a refusal and reports it once. Receiving the publication in
// force again is not reported.
func (s *Store) reportRefusal(now time.Time, root []byte, r *Root, err error) error {
	st := Stamp{Digest: Hash(root)}
	if r != nil {
		st.Version = r.Version
	}
	s.mu.Lock()
	known := st == s.stamp || s.refused[st] != nil
	if !known {
		s.addRefused(st, err)
	}
	s.mu.Unlock()
	if known {
		return err
	}
	for _, f := range s.OnRefuse {
		f(Refusal{Now: now, Stamp: st, Err: err})
	}
	return err
}

func (s *Store) addRefused(st Stamp, err error) {
	if s.refused == nil {
		s.refused = make(map[Stamp]error)
	}
	if len(s.refusedOrder) == maxRefused {
		delete(s.refused, s.refusedOrder[0])
		s.refusedOrder = s.refusedOrder[1:]
	}
	s.refused[st] = err
	s.refusedOrder = append(s.refusedOrder, st)
}
