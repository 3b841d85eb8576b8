package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/fake"
)

// Names in the publication of a fleet on loopback.
const (
	ModelChat = "planner"
	ModelBook = "bookings"

	ProfileChat  = "chat"  // streamed chats
	ProfileQuick = "quick" // urgent, short
	ProfileBook  = "book"  // needs a ticket
	ProfileSlots = "slots" // idempotent reads from the service
)

// Keys are the callers' keys by workspace.
var Keys = map[string]string{
	"darkroom": "key-of-darkroom",
	"prairie":  "key-of-prairie",
	"archive":  "key-of-archive",
}

// initialPublication returns the publication that the fleet starts with.
func (f *Fleet) initialPublication() *chestnutstep.Publication {
	p := &chestnutstep.Publication{
		Models: []chestnutstep.Model{
			{Name: ModelChat, Kind: chestnutstep.KindEngine, Multiple: 1.5, Floor: 4, Slots: 32, QueueLimit: 64, ColdCap: 4, WarmupAnswers: 8, DoneMarker: "event: done", PrefillRate: 20000, CacheBytesPerToken: 64},
			{Name: ModelBook, Kind: chestnutstep.KindService, Multiple: 2, Floor: 8, Slots: 64, QueueLimit: 64, ColdCap: 8},
		},
		Profiles: profiles(),
		Budget:   chestnutstep.Budget{ReadRate: 100, LoadRate: 1, RetryRatio: 0.1, ExportRate: 10 << 20},
	}
	for i := range f.DomainCount {
		p.Domains = append(p.Domains, chestnutstep.Domain{Name: domainName(i), Region: region})
	}
	for _, t := range f.Targets {
		p.Hosts = append(p.Hosts, chestnutstep.Host{Name: t.Host, Domain: t.Domain})
		p.Targets = append(p.Targets, chestnutstep.Target{
			Name: t.Name, Host: t.Host, Model: modelFor(t.Kind), Agent: t.Agent.Address, Weight: 1,
		})
	}
	for _, entry := range f.Entries {
		p.Hosts = append(p.Hosts, chestnutstep.Host{Name: "host-" + entry.Name, Domain: entry.Domain, HasEntry: true})
	}
	for _, name := range []string{"darkroom", "prairie", "archive"} {
		sum := sha256.Sum256([]byte(Keys[name]))
		p.Workspaces = append(p.Workspaces, chestnutstep.Workspace{
			Name: name, Keys: []string{hex.EncodeToString(sum[:])}, Weight: 1,
		})
	}
	if f.Customize != nil {
		f.Customize(p)
	}
	return p
}

func modelFor(kind string) string {
	if kind == chestnutstep.KindService {
		return ModelBook
	}
	return ModelChat
}

func profiles() []chestnutstep.Profile {
	const body = 1 << 20
	second := chestnutstep.Duration(time.Second)
	return []chestnutstep.Profile{
		{Name: ProfileChat, Model: ModelChat, Class: "normal", Timeout: 60 * second, Patience: second / 2, MaxAttempts: 3, ExpectedTokens: 100, MaxBodyBytes: body},
		{Name: ProfileQuick, Model: ModelChat, Class: "urgent", Timeout: 10 * second, Patience: second / 5, MaxAttempts: 3, ExpectedTokens: 20, MaxBodyBytes: body},
		{Name: ProfileBook, Model: ModelBook, Class: "urgent", Timeout: 60 * second, MaxAttempts: 2, RequiresTicket: true, ExpectedTokens: 1, MaxBodyBytes: body},
		{Name: ProfileSlots, Model: ModelBook, Class: "urgent", Timeout: 10 * second, MaxAttempts: 2, ExpectedTokens: 1, MaxBodyBytes: body},
	}
}

// SetDomainOut publishes a change that takes a failure domain out of service or
// brings it back.
func (f *Fleet) SetDomainOut(ctx context.Context, name string, out bool) error {
	return f.Publish(ctx, func(p *chestnutstep.Publication) {
		for i := range p.Domains {
			if p.Domains[i].Name == name {
				p.Domains[i].Out = out
			}
		}
	})
}

// Publish applies a change to the publication, increases its version, and
// writes it to the platform. Parts are written before the root, so that a
// reader of the root finds them. It returns an error if the changed publication
// is invalid.
func (f *Fleet) Publish(ctx context.Context, change func(*chestnutstep.Publication)) error {
	next := f.initialPublication()
	if f.Publication != nil {
		raw, err := json.Marshal(f.Publication)
		if err != nil {
			return errors.Wrap(err, "copy publication")
		}
		next = &chestnutstep.Publication{}
		if err := json.Unmarshal(raw, next); err != nil {
			return errors.Wrap(err, "copy publication")
		}
	}
	change(next)
	next.Version++
	if err := config.Check(next); err != nil {
		return errors.Wrap(err, "check publication")
	}
	root, parts := config.Pack(next)
	for hash, raw := range parts {
		if err := f.putValue(ctx, config.PartPrefix+hash, raw); err != nil {
			return err
		}
	}
	if err := f.putValue(ctx, config.RootName, root); err != nil {
		return err
	}
	f.Publication = next
	return f.save()
}

// save writes the publication to a file, which operators can modify to try
// changes.
func (f *Fleet) save() error {
	raw, err := json.MarshalIndent(f.Publication, "", "  ")
	if err != nil {
		return errors.Wrap(err, "marshal publication")
	}
	path := filepath.Join(f.Dir, "publication.json")
	return errors.Wrap(os.WriteFile(path, append(raw, '\n'), 0o644), "write publication")
}

// putValue writes a value to the platform. It retries, because the platform can
// still be starting.
func (f *Fleet) putValue(ctx context.Context, name string, raw []byte) error {
	return WaitFor(ctx, "publish "+name, func() error {
		return sendBody(ctx, http.MethodPost, f.Platform.Address, "/control/v/"+name, raw)
	})
}

// SetPlatformMode sets the faults that the platform injects.
func (f *Fleet) SetPlatformMode(ctx context.Context, m fake.Mode) error {
	return post(ctx, f.Platform.Address, "/control/mode", m)
}
