// Package admin serves a process's admin address: health checks for the platform's
// balancer, and status, metrics and audit trail for operators. It also contains the client
// that reads status and audit trail of other processes, and their display as text.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/audit"
	"chestnutstep.example/chestnutstep/event"
)

const (
	// readTimeout limits the time to read a request, so that an idle connection of a
	// scraper that has gone is closed.
	readTimeout = 10 * time.Second
	// shutdownTimeout limits a graceful stop: all responses here are short.
	shutdownTimeout = 2 * time.Second
)

// Server serves the admin address. Its responses contain no keys, but they describe
// the process to any client, so the address must be on the operators' network.
type Server struct {
	// Addr is the address, IP and port.
	Addr string
	// Listener is used instead of Addr if set.
	Listener net.Listener
	Log      *event.Log
	// Ready returns nil if the process accepts new work, else the reason why not. It must
	// return an error before a leaving process stops accepting work, so that the
	// platform's balancer chooses another process first.
	Ready   func() error
	Status  func() Status
	Metrics http.Handler
	Audit   *audit.Trail
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	l := s.Listener
	if l == nil {
		var err error
		l, err = net.Listen("tcp", s.Addr)
		if err != nil {
			s.Log.Emit(event.AdminFailed, event.Str("addr", s.Addr), event.Err(err))
			return errors.Wrapf(err, "admin address %s", s.Addr)
		}
	}
	srv := &http.Server{Handler: s.Handler(), ReadTimeout: readTimeout}
	stop := context.AfterFunc(ctx, func() { shutdown(srv) })
	defer stop()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.Log.Emit(event.AdminFailed, event.Str("addr", l.Addr().String()), event.Err(err))
		return errors.Wrapf(err, "admin address %s", l.Addr())
	}
	return nil
}

func shutdown(srv *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if srv.Shutdown(ctx) != nil {
		srv.Close()
	}
}

// Handler returns the handler of all paths of the admin address.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", s.live)
	mux.HandleFunc("GET /ready", s.ready)
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /audit", s.audit)
	if s.Metrics != nil {
		mux.Handle("GET /metrics", s.Metrics)
	}
	return mux
}

// live answers as long as the process runs: a process that is stopping
// or has no publication is live, and a restart would not help.
func (s *Server) live(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("live\n"))
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.Ready != nil {
		if err := s.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	if s.Status == nil {
		http.NotFound(w, nil)
		return
	}
	st := s.Status()
	if st.Changes == nil && s.Audit != nil {
		st.Changes = s.Audit.Last(statusRecords)
	}
	writeJSON(w, st)
}

// statusRecords is the number of audit records in a status: a screen of them.
const statusRecords = 20

func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	if s.Audit == nil {
		http.NotFound(w, r)
		return
	}
	n := 0
	if last := r.URL.Query().Get("last"); last != "" {
		var err error
		n, err = strconv.Atoi(last)
		if err != nil || n < 0 {
			http.Error(w, "last is a whole number from 0 up", http.StatusBadRequest)
			return
		}
	}
	writeJSON(w, s.Audit.Last(n))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}
