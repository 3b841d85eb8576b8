package entry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/wire"
)

// FuzzHeaders checks that for arbitrary headers of a caller the entry doesn't panic, keeps the time
// limit within that of the profile, and names the header that it refuses.
func FuzzHeaders(f *testing.F) {
	f.Add("1.5s", "chat", "hint", "key", "ticket", "keep-alive, x-a")
	f.Add("-1s", "", "\x00", "\xff", "t:0", "")
	f.Add("1e9h", "a\nb", "", "", "AAAA", "Authorization")
	v := chestnutstep.NewView(fake.PlannedSize.Publication(1))
	p := &v.Publication.Profiles[0]
	now := time.Now()
	f.Fuzz(func(t *testing.T, limit, chat, hint, key, ticket, connection string) {
		r := httptest.NewRequest(http.MethodPost, "/v1", nil)
		r.Header = http.Header{
			chestnutstep.HeaderTimeout: {limit}, chestnutstep.HeaderChat: {chat}, chestnutstep.HeaderHint: {hint},
			chestnutstep.HeaderIdempotencyKey: {key}, chestnutstep.HeaderTicket: {ticket}, "Connection": {connection},
			"Authorization": {"Bearer secret"},
		}
		a := &clientRequest{view: v, workspace: &v.Publication.Workspaces[0], profile: p, httpRequest: r, id: key}
		if err := a.readHeaders(now); err != nil {
			if !IsErrHeader(err) {
				t.Fatalf("not an error that names a header: %v", err)
			}
			return
		}
		if a.deadline.After(now.Add(p.Timeout.Std())) || !a.deadline.After(now) || a.id == "" {
			t.Fatalf("deadline %v after now, id %q", a.deadline.Sub(now), a.id)
		}
		for _, h := range forwardedHeaders(r.Header) {
			if h.Name == "Authorization" {
				t.Fatal("the caller's key was passed on")
			}
		}
	})
}

// FuzzFrames writes frames in any order, duplicated, overlapping or with gaps, as after several
// broken links. The caller must always have a prefix of the answer, and only the whole answer can
// count as complete.
func FuzzFrames(f *testing.F) {
	f.Add([]byte("the whole answer"), []byte{0, 4, 4, 12, 0, 16})
	f.Add([]byte("the whole answer"), []byte{0, 4, 8, 8, 2, 9, 11, 5})
	f.Add([]byte{}, []byte{0, 0})
	f.Fuzz(func(t *testing.T, whole, cuts []byte) {
		w := httptest.NewRecorder()
		o := &output{w: w, request: &clientRequest{}, clock: time.Now}
		o.writeHead(&wire.Head{Status: http.StatusOK}, "t")
		for i := 0; i+1 < len(cuts); i += 2 {
			from := min(int(cuts[i]), len(whole))
			to := min(from+int(cuts[i+1]), len(whole))
			ok, err := o.writeFrame(&wire.Frame{Offset: int64(from), Data: whole[from:to]})
			if err != nil || (ok && int64(from) > o.offset) {
				t.Fatalf("frame %d to %d at %d: %v", from, to, o.offset, err)
			}
		}
		got := w.Body.Bytes()
		if !bytes.HasPrefix(whole, got) || int64(len(got)) != o.offset {
			t.Fatalf("%q is no prefix of %q", got, whole)
		}
		last := &wire.Last{Total: int64(len(whole)), Sum: xxhash.Sum64(whole)}
		if o.isComplete(last) != bytes.Equal(got, whole) {
			t.Fatalf("%q taken for whole: %v", got, o.isComplete(last))
		}
	})
}
