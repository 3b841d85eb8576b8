package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
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

// inheritedFD is the descriptor of a listening socket that the process takes over.
const inheritedFD = 3

// listen listens on an address, or takes over a listening socket.
func listen(address string, inherit bool) (net.Listener, error) {
	if !inherit {
		l, err := net.Listen("tcp", address)
		return l, errors.Wrap(err, "listen")
	}
	f := os.NewFile(inheritedFD, "listener")
	defer f.Close()
	l, err := net.FileListener(f)
	return l, errors.Wrap(err, "inherited listener")
}

// serve listens on address and serves h until SIGTERM or SIGINT. It prints the
// address that it listens on, so that port 0 can be used.
func serve(address string, h http.Handler) error {
	l, err := listen(address, false)
	if err != nil {
		return err
	}
	return serveListener(l, h)
}

func serveListener(l net.Listener, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
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
