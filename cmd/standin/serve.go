package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// shutdownTimeout is how long a stand-in that is asked to stop lets answers end.
const shutdownTimeout = 2 * time.Second

// server is a stand-in's HTTP server and how it ended.
type server struct {
	http.Server
	listener net.Listener
	done     chan error
}

// serve listens and prints the address, so that port 0 can be used, until the
// process is told to stop.
func serve(address string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	fmt.Println(l.Addr())
	s := &server{listener: l, done: make(chan error, 1)}
	s.Handler = h
	go s.run()
	select {
	case err := <-s.done:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	return s.stop()
}

func (s *server) run() {
	s.done <- s.Serve(s.listener)
}

func (s *server) stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		return s.Close()
	}
	return nil
}
