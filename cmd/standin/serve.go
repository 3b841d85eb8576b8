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

// shutdownTimeout is how long in-flight answers can continue after a signal to
// stop.
const shutdownTimeout = 2 * time.Second

// server is the HTTP server of an emulated system; done receives the error that
// ended it.
type server struct {
	http.Server
	listener net.Listener
	done     chan error
}

// serve listens on address and serves h until SIGTERM or SIGINT. It prints the
// address that it listens on, so that port 0 can be used.
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
