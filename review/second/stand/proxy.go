package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
)

// proxy stands for the links to a server. It can let open channels go silent: they stay open, and nothing passes any
// more, the end of the channel included, while new ones work.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	links map[*proxied]bool
}

// proxied is a channel through a proxy.
type proxied struct {
	caller, server *net.TCPConn
	silent         chan struct{}
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &proxy{listener: l, to: to, links: make(map[*proxied]bool)}, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// run accepts channels until the case ends.
func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(c.(*net.TCPConn))
	}
}

func (p *proxy) forward(caller *net.TCPConn) {
	s, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = caller.SetLinger(0) // as a port without a listener
		_ = caller.Close()
		return
	}
	x := &proxied{caller: caller, server: s.(*net.TCPConn), silent: make(chan struct{})}
	p.mu.Lock()
	p.links[x] = true
	p.mu.Unlock()
	go x.copy(x.server, x.caller)
	x.copy(x.caller, x.server)
	p.mu.Lock()
	delete(p.links, x)
	p.mu.Unlock()
}

// copy passes bytes on until the channel ends. The end of a silent channel is not passed on.
func (x *proxied) copy(to, from *net.TCPConn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if x.isSilent() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if n > 0 {
			if _, failed := to.Write(b[:n]); failed != nil {
				err = failed
			}
		}
		switch {
		case err == io.EOF:
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

func (x *proxied) isSilent() bool {
	select {
	case <-x.silent:
		return true
	default:
		return false
	}
}

// silence lets a share of the open channels go silent for good. It returns how many of how many do.
func (p *proxy) silence(random *rand.Rand, share float64) (silent, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.links {
		open++
		if random.Float64() < share {
			silent++
			close(x.silent)
		}
	}
	return silent, open
}
