package config

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
)

const (
	// refusedMax bounds how many refused publications are remembered. Operators
	// mend a bad one within minutes; forgetting one only costs a second fetch.
	refusedMax = 64
	// spareMax bounds the bytes of parts that are kept before their publication
	// is whole: several times the largest sensible publication, and an eighth of
	// a process's memory.
	spareMax = 8 << 20
)

// Change is a publication that came into force.
type Change struct {
	Now time.Time
	// From is nil for the first.
	From, To *chestnutstep.View
	Stamp    Stamp
	// Clash says that it replaced other content of the same version: two
	// operators published against each other.
	Clash bool
}

// Refusal is a publication that was not put in force.
type Refusal struct {
	Now   time.Time
	Stamp Stamp
	Err   error
}

// ErrOld says that a publication does not replace the one in force. It guards
// against a configuration service that is stale or goes back: one would notice
// a domain that operators took out receiving work again.
type ErrOld struct {
	Stamp, InForce Stamp
}

// Error names both publications.
func (err ErrOld) Error() string {
	return "publication " + err.Stamp.String() + " does not replace " + err.InForce.String()
}

// IsErrOld checks whether a publication was refused for its version.
func IsErrOld(err error) bool {
	return errors.As(err, new(ErrOld))
}

// ErrClash says that a publication lost against another of the same version.
type ErrClash struct {
	Stamp, InForce Stamp
}

// Error names both publications and what to do.
func (err ErrClash) Error() string {
	return "publication " + err.Stamp.String() + " and " + err.InForce.String() +
		" share a version and differ; publish a higher one"
}

// IsErrClash checks whether two publications share a version.
func IsErrClash(err error) bool {
	return errors.As(err, new(ErrClash))
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

	// put serialises Put, and with it the calls of the hooks.
	put sync.Mutex

	mu      sync.Mutex
	stamp   Stamp
	root    []byte
	parts   map[string][]byte
	changed chan struct{}
	refused map[Stamp]error
	order   []Stamp // of refused, oldest first
	spare   spare
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
	return s.spare.get(hash)
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

// Wants says whether a publication would replace the one in force and was not
// refused before. A process asks before it fetches anything.
func (s *Store) Wants(st Stamp) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stamp.Compare(st) < 0 && s.refused[st] == nil
}

// Missing lists the parts of a root that this process does not hold, or says
// why the root is not wanted (ErrInvalid, ErrOld, ErrClash).
func (s *Store) Missing(now time.Time, root []byte) ([]string, error) {
	s.put.Lock()
	defer s.put.Unlock()
	r, err := s.judge(root)
	if err != nil {
		return nil, s.refuse(now, root, r, err)
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

// Keep holds a part until its publication is whole. The error is an ErrPart
// when the content is not what the hash says.
func (s *Store) Keep(hash string, raw []byte) error {
	if len(raw) > ValueMax || Hash(raw) != hash {
		return ErrPart{Hash: hash}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spare.add(hash, raw)
	return nil
}

// Put puts a publication in force: the parts given and those held already must
// make it whole. On an error the one in force stays. A missing part (ErrPart)
// is no verdict on the publication: Put may be called again; ErrInvalid,
// ErrOld and ErrClash are final.
func (s *Store) Put(now time.Time, root []byte, parts map[string][]byte) error {
	s.put.Lock()
	defer s.put.Unlock()
	r, err := s.judge(root)
	if err != nil {
		return s.refuse(now, root, r, err)
	}
	whole, err := s.gather(r, parts)
	if err != nil {
		return err
	}
	p, err := Unpack(root, whole)
	if err != nil {
		return s.refuse(now, root, r, err)
	}
	c := s.enforce(now, r, root, whole, chestnutstep.NewView(p))
	for _, f := range s.OnChange {
		f(c)
	}
	return nil
}

// judge checks all that can be told from the root alone.
func (s *Store) judge(root []byte) (*Root, error) {
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
		return r, ErrClash{Stamp: st, InForce: s.stamp}
	}
	return r, ErrOld{Stamp: st, InForce: s.stamp}
}

// gather joins the parts of a root from what was given and what is held.
func (s *Store) gather(r *Root, given map[string][]byte) (map[string][]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := make(map[string][]byte, len(r.Parts))
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
		whole[hash] = raw
	}
	return whole, nil
}

func (s *Store) enforce(now time.Time, r *Root, root []byte, parts map[string][]byte, v *chestnutstep.View) Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.stamp
	s.stamp = Stamp{Version: r.Version, Digest: Hash(root)}
	s.root, s.parts = root, parts
	s.spare.clear()
	c := Change{Now: now, From: s.view.Load(), To: v, Stamp: s.stamp, Clash: was.Version == r.Version}
	s.view.Store(v)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return c
}

// refuse remembers a refusal and reports it once. What is in force again under
// its own stamp is no refusal worth a report.
func (s *Store) refuse(now time.Time, root []byte, r *Root, err error) error {
	st := Stamp{Digest: Hash(root)}
	if r != nil {
		st.Version = r.Version
	}
	s.mu.Lock()
	known := st == s.stamp || s.refused[st] != nil
	if !known {
		s.remember(st, err)
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

func (s *Store) remember(st Stamp, err error) {
	if s.refused == nil {
		s.refused = make(map[Stamp]error)
	}
	if len(s.order) == refusedMax {
		delete(s.refused, s.order[0])
		s.order = s.order[1:]
	}
	s.refused[st] = err
	s.order = append(s.order, st)
}
