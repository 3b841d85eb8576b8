package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/wire"
)

// BenchmarkOffer measures the size in bytes of the offer of a short prompt with a browser's
// headers, which is the cost of each attempt without framing.
func BenchmarkOffer(b *testing.B) {
	v := chestnutstep.NewView(fake.PlannedSize.Publication(1))
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(""))
	for name, value := range map[string]string{
		"Content-Type": "application/json", "Accept": "text/event-stream", "User-Agent": "desk/1.0",
		"Accept-Encoding": "gzip", "X-Request-Start": "1764700000.123",
	} {
		r.Header.Set(name, value)
	}
	a := &clientRequest{
		view: v, workspace: &v.Publication.Workspaces[0], profile: &v.Publication.Profiles[0], id: randomID(),
		chat: "chat-0123456789abcdef", deadline: time.Now().Add(time.Minute), httpRequest: r,
	}
	size := 0
	for b.Loop() {
		size = proto.Size(&wire.Up{Kind: &wire.Up_Offer{Offer: a.newOffer(time.Now(), time.Second)}})
	}
	b.ReportMetric(float64(size), "B/offer")
}
