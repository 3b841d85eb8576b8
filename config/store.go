package config

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
)

const (
	// maxRefused bounds how many refused publications are remembered. Operators
	// mend a bad one within minutes; forgetting one only costs a second fetch.
	maxRefused = 64
	// maxPendingBytes bounds the bytes of parts that are kept before their publication
	// is whole: several times the largest sensible publication, and an eighth of
	// a process's memory.
	maxPendingBytes = 8 << 20
)

// Change is a publication that came into force.
type Change struct {
	Now time.Time
	// From is nil for the first.
	From, To *chestnutstep.View
	Stamp    Stamp
	// Conflict says that it replaced other content of the same version: two
	// operators published against each other.
	Conflict bool
}

// Refusal is a publication that was not put in force.
type Refusal struct {
	Now   time.Time
	Stamp Stamp
	Err   error
}

// ErrStale says that a publication does not replace the one in force. It guards
// against a configuration service that is stale or goes back: one would notice
// a domain that operators took out receiving work again.
type ErrStale struct {
	Stamp, InForce Stamp
}

// Error names both publications.
func (err ErrStale) Error() string {
	return "publication " + err.Stamp.String() + " does not replace " + err.InForce.String()
}

// IsErrStale checks whether a publication was refused for its version.
func IsErrStale(err error) bool {
	return errors.As(err, new(ErrStale))
}

// ErrConflict says that a publication lost against another of the same version.
type ErrConflict struct {
	Stamp, InForce Stamp
}

// Error names both publications and what to do.
func (err ErrConflict) Error() string {
	return "publication " + err.Stamp.String() + " and " + err.InForce.String() +
		" share a version and differ; publish a higher one"
}

// IsErrConflict checks whether two publications share a version.
func IsErrConflict(err error) bool {
	return errors.As(err, new(ErrConflict))
}

// Store holds the publication that is in force in this process. It moves only
// up in the order of Stamp, whole or not at all, whoever brings a publication
// and in whatever order they come. The zero value is empty and ready for use.
type Store struct {
	// OnChange and OnRefuse are called in order, one at a time, before Put
	// returns; they must not call Put. A refused publication is reported once.
	// Set them before use.
	OnChange []func(Change)
	OnRefuse []func(Refusal)

	// view is read by every request, so it takes no lock.
	view atomic.Pointer[chestnutstep.View]

	// applyMu serialises Put, and with it the calls of the hooks.
	applyMu sync.Mutex

	mu           sync.Mutex
	stamp        Stamp
	root         []byte
	parts        map[string][]byte
	changed      chan struct{}
	refused      map[Stamp]error
	refusedOrder []Stamp // of refused, oldest first
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

// Root returns the root in force, to hand to peers; nil before the first.
func (s *Store) Root() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.root
}

// Part returns a part of the publication in force, or one that waits for its
// publication to be whole: processes that start together get the parts from
// each other instead of each reading all of them from the service.
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

// ShouldFetch says whether a publication would replace the one in force and was not
// refused before. A process asks before it fetches anything.
func (s *Store) ShouldFetch(st Stamp) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stamp.Compare(st) < 0 && s.refused[st] == nil
}

// Missing lists the parts of a root that this process does not hold, or says
// why the root is not wanted (ErrInvalid, ErrOld, ErrClash).
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

// AddPart holds a part until its publication is whole. The error is an ErrPart
// when the content is not what the hash says.
func (s *Store) AddPart(hash string, raw []byte) error {
	if len(raw) > MaxValueBytes || Hash(raw) != hash {
		return ErrPart{Hash: hash}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending.add(hash, raw)
	return nil
}

// Apply puts a publication in force: the parts given and those held already must
// make it whole. On an error the one in force stays. A missing part (ErrPart)
// is no verdict on the publication: Put may be called again; ErrInvalid,
// ErrOld and ErrClash are final.
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

// checkRoot checks all that can be told from the root alone.
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

// collectParts joins the parts of a root from what was given and what is held.
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

// reportRefusal remembers a refusal and reports it once. What is in force again under
// its own stamp is no refusal worth a report.
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
