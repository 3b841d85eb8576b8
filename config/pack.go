package config

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
)

const (
	// MaxValueBytes is the platform's size limit of one value, and so of the root and
	// each part, in bytes.
	MaxValueBytes = 1 << 20
	// shardBytes is the intended size of a part. For a change, every process reads the root,
	// which contains one hash per part, and the changed parts. Small parts make the root
	// large, and large parts are costly themselves. The sum is smallest near the square
	// root of (all bytes * bytes per hash), which is 4 KiB for a publication of half a
	// megabyte.
	shardBytes = 4 << 10
	// hashBytes is the number of bytes of a part's SHA-256 hash that are used. 128 bits halve
	// the root and still exclude accidental collisions. A deliberate collision requires
	// permission to publish, with which any content could be published anyway.
	hashBytes = 16
)

// Names under which the platform serves a publication.
const (
	RootName   = "chestnut/root"
	PartPrefix = "chestnut/part/"
)

// Root lists the parts of one publication. It is the only value that operators
// overwrite: parts are named by the hash of their content and never change, so
// a reader of one root can't mix parts of two publications.
type Root struct {
	Version uint64 `json:"version"`
	// ReadRate and Nodes repeat the publication's read budget and the number of
	// processes that it covers, so that a process can compute its share of the budget
	// before it reads the parts.
	ReadRate float64 `json:"reads"`
	Nodes    int     `json:"nodes"`
	// Parts are the content hashes, in the order in which the parts are joined.
	Parts []string `json:"parts"`
}

// fragment is the content of one part: a subset of a publication.
type fragment struct {
	Domains    []chestnutstep.Domain    `json:"domains,omitempty"`
	Hosts      []chestnutstep.Host      `json:"hosts,omitempty"`
	Models     []chestnutstep.Model     `json:"models,omitempty"`
	Targets    []chestnutstep.Target    `json:"targets,omitempty"`
	Profiles   []chestnutstep.Profile   `json:"profiles,omitempty"`
	Workspaces []chestnutstep.Workspace `json:"workspaces,omitempty"`
	Budget     *chestnutstep.Budget     `json:"budget,omitempty"`
}

// Hash returns the hash that names content: a root or a part.
func Hash(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:hashBytes])
}

// CountNodes counts the processes that a publication covers: one agent for each
// target, and one entry for each host marked with HasEntry or, if no host is
// marked, for each host without a target. Hosts without any process make the count too
// high, in which case each process reads less than it could.
func CountNodes(p *chestnutstep.Publication) int {
	hasTarget := make(map[string]bool, len(p.Targets))
	for i := range p.Targets {
		hasTarget[p.Targets[i].Host] = true
	}
	marked, unused := 0, 0
	for i := range p.Hosts {
		if p.Hosts[i].HasEntry {
			marked++
		}
		if !hasTarget[p.Hosts[i].Name] {
			unused++
		}
	}
	if marked > 0 {
		unused = marked
	}
	return max(len(p.Targets)+unused, 1)
}

// Pack splits a publication that has passed Check into a root and parts, by hash. The
// result does not depend on the order of items. Items are distributed over parts by the
// hash of their name, so that changing one item changes one part, and adding an item
// moves no other item unless the number of parts changes.
func Pack(p *chestnutstep.Publication) (root []byte, parts map[string][]byte) {
	list := []fragment{{Domains: sortedByName(p.Domains, domainName), Budget: &p.Budget}}
	list = append(list, shard(p.Models, modelName, func(f *fragment) *[]chestnutstep.Model { return &f.Models })...)
	list = append(list, shard(p.Profiles, profileName, func(f *fragment) *[]chestnutstep.Profile { return &f.Profiles })...)
	list = append(list, shard(p.Hosts, hostName, func(f *fragment) *[]chestnutstep.Host { return &f.Hosts })...)
	list = append(list, shard(p.Targets, targetName, func(f *fragment) *[]chestnutstep.Target { return &f.Targets })...)
	list = append(list, shard(p.Workspaces, workspaceName, func(f *fragment) *[]chestnutstep.Workspace { return &f.Workspaces })...)

	r := Root{Version: p.Version, ReadRate: p.Budget.ReadRate, Nodes: CountNodes(p)}
	parts = make(map[string][]byte, len(list))
	for i := range list {
		raw := encode(list[i])
		hash := Hash(raw)
		parts[hash] = raw
		r.Parts = append(r.Parts, hash)
	}
	return encode(r), parts
}

// encode marshals plain data, which can't fail for a publication that has passed Check.
func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode %T", v))
	}
	return raw
}

func domainName(d *chestnutstep.Domain) string       { return d.Name }
func modelName(m *chestnutstep.Model) string         { return m.Name }
func profileName(p *chestnutstep.Profile) string     { return p.Name }
func hostName(h *chestnutstep.Host) string           { return h.Name }
func targetName(t *chestnutstep.Target) string       { return t.Name }
func workspaceName(w *chestnutstep.Workspace) string { return w.Name }

func sortedByName[T any](list []T, name func(*T) string) []T {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b T) int { return cmp.Compare(name(&a), name(&b)) })
	return out
}

// shard distributes items over parts. The number of parts is a power of two so that it
// rarely changes as a list grows: each change of it replaces all parts of the
// list.
func shard[T any](list []T, name func(*T) string, field func(*fragment) *[]T) []fragment {
	if len(list) == 0 {
		return nil
	}
	n := shardCount(len(encode(list)))
	frags := make([]fragment, n)
	for _, item := range sortedByName(list, name) {
		i := int(xxhash.Sum64String(name(&item)) % uint64(n))
		into := field(&frags[i])
		*into = append(*into, item)
	}
	return slices.DeleteFunc(frags, func(f fragment) bool { return len(*field(&f)) == 0 })
}

func shardCount(size int) int {
	if size <= shardBytes {
		return 1
	}
	return 1 << (bits.Len(uint(size/shardBytes)) - 1)
}

// ErrPart reports a part of a root that is missing or whose content does not match its hash.
type ErrPart struct {
	Hash    string
	Missing bool
}

// Error returns the part's hash and the fault.
func (err ErrPart) Error() string {
	if err.Missing {
		return "part " + err.Hash + " is missing"
	}
	return "part " + err.Hash + " has other content"
}

// IsErrPart reports whether an error is an ErrPart.
func IsErrPart(err error) bool {
	return errors.As(err, new(ErrPart))
}

// ParseRoot decodes and checks a root. The error is an ErrInvalid.
func ParseRoot(raw []byte) (*Root, error) {
	r := new(Root)
	if len(raw) > MaxValueBytes {
		return nil, newErrInvalid("root", "larger than 1 MiB")
	}
	if err := decode(raw, r); err != nil {
		return nil, newErrInvalid("root", err.Error())
	}
	var ps problems
	if r.Version == 0 {
		ps.add("root.version", "want a version from 1 up")
	}
	if len(r.Parts) == 0 {
		ps.add("root.parts", "missing")
	}
	if !isFinite(r.ReadRate) || r.ReadRate <= 0 || r.ReadRate > maxReadRate {
		ps.add("root.reads", "want more than 0 and at most %d, got %v", maxReadRate, r.ReadRate)
	}
	if r.Nodes < 1 {
		ps.add("root.nodes", "want at least 1, got %d", r.Nodes)
	}
	for i, hash := range r.Parts {
		if b, err := hex.DecodeString(hash); err != nil || len(b) != hashBytes {
			ps.add(indexPath("root.parts", i), "want %d hexadecimal digits", 2*hashBytes)
		}
	}
	return r, ps.err()
}

// Unpack joins the parts of a publication and checks the result. The
// error is an ErrPart if a part is missing or has the wrong content, and an ErrInvalid
// if the content breaks the rules.
func Unpack(root []byte, parts map[string][]byte) (*chestnutstep.Publication, error) {
	r, err := ParseRoot(root)
	if err != nil {
		return nil, err
	}
	p := &chestnutstep.Publication{Version: r.Version}
	for i, hash := range r.Parts {
		raw, ok := parts[hash]
		if !ok {
			return nil, ErrPart{Hash: hash, Missing: true}
		}
		if Hash(raw) != hash {
			return nil, ErrPart{Hash: hash}
		}
		var f fragment
		if err := decode(raw, &f); err != nil {
			return nil, newErrInvalid(indexPath("parts", i), err.Error())
		}
		f.appendTo(p)
	}
	if err := Check(p); err != nil {
		return nil, err
	}
	if r.ReadRate != p.Budget.ReadRate {
		return nil, newErrInvalid("root.reads", "differs from budget.reads in the parts")
	}
	return p, nil
}

func (f *fragment) appendTo(p *chestnutstep.Publication) {
	p.Domains = append(p.Domains, f.Domains...)
	p.Hosts = append(p.Hosts, f.Hosts...)
	p.Models = append(p.Models, f.Models...)
	p.Targets = append(p.Targets, f.Targets...)
	p.Profiles = append(p.Profiles, f.Profiles...)
	p.Workspaces = append(p.Workspaces, f.Workspaces...)
	if f.Budget != nil {
		p.Budget = *f.Budget
	}
}

func newErrInvalid(path, text string) error {
	return ErrInvalid{Problems: []Problem{{Path: path, Text: text}}}
}

// decode decodes one JSON value. It refuses unknown fields, as they can contain a rule
// that this version would break by ignoring it.
func decode(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("more than one value")
	}
	return nil
}
