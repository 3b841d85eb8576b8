package stand

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// Behaviours that send bytes without end in one part of an answer, until the connection is closed.
const (
	EndlessStatus  Behaviour = "endless status"  // status line
	EndlessLine    Behaviour = "endless line"    // one header line
	EndlessHead    Behaviour = "endless head"    // header lines
	EndlessInterim Behaviour = "endless interim" // interim answers
	EndlessBody    Behaviour = "endless body"    // body that ends with its connection
	EndlessSize    Behaviour = "endless size"    // size of a chunk
	EndlessEvent   Behaviour = "endless event"   // event of a stream
	EndlessTrailer Behaviour = "endless trailer" // trailer behind the chunks
)

// EndlessBehaviours are all behaviours that send bytes without end.
var EndlessBehaviours = []Behaviour{
	EndlessStatus, EndlessLine, EndlessHead, EndlessInterim, EndlessBody, EndlessSize, EndlessEvent, EndlessTrailer,
}

// endlessBlock is the size of one write in bytes.
const endlessBlock = 16 << 10

// writeEndless writes to the hijacked connection until it breaks.
func (t *Target) writeEndless(w http.ResponseWriter, behaviour Behaviour, id string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	head := fmt.Sprintf("Attempt-Id: %s\r\nServer-Signature: sig-%s\r\n", id, t.Name)
	writeEndless(c, behaviour, head, t.stop)
}

// EndlessServer answers each connection with bytes without end, whatever is requested. Create it with
// NewEndlessServer.
type EndlessServer struct {
	behaviour Behaviour
	listener  net.Listener
	stop      chan struct{}
}

// NewEndlessServer starts a server. The caller must close it.
func NewEndlessServer(behaviour Behaviour) (*EndlessServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &EndlessServer{behaviour: behaviour, listener: l, stop: make(chan struct{})}
	go s.run()
	return s, nil
}

// Address returns the server's IP and port.
func (s *EndlessServer) Address() string { return s.listener.Addr().String() }

// Close stops the server and closes its connections.
func (s *EndlessServer) Close() {
	close(s.stop)
	_ = s.listener.Close()
}

func (s *EndlessServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go (&endlessConn{c, s}).run()
	}
}

// endlessConn is one connection of an EndlessServer.
type endlessConn struct {
	net.Conn
	server *EndlessServer
}

func (c *endlessConn) run() {
	defer c.Close()
	if _, err := c.Read(make([]byte, endlessBlock)); err != nil {
		return
	}
	writeEndless(c, c.server.behaviour, "", c.server.stop)
}

// writeEndless writes an answer until the connection breaks or stop is closed.
func writeEndless(c net.Conn, behaviour Behaviour, head string, stop <-chan struct{}) {
	start, repeated := endlessPart(behaviour, head)
	block := bytes.Repeat([]byte(repeated), endlessBlock/len(repeated)+1)
	_, err := io.WriteString(c, start)
	for err == nil {
		select {
		case <-stop:
			return
		default:
		}
		_, err = c.Write(block)
	}
}

// endlessPart returns how the answer begins, and what is repeated after that.
func endlessPart(behaviour Behaviour, head string) (start, repeated string) {
	const status = "HTTP/1.1 200 OK\r\n"
	head = status + head
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	switch behaviour {
	case EndlessStatus:
		return "HTTP/1.1 200 ", "x"
	case EndlessLine:
		return status + "Filler: ", "x"
	case EndlessHead:
		return status, "Filler: " + strings.Repeat("x", 100) + "\r\n"
	case EndlessInterim:
		return "", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	case EndlessSize:
		return chunked, "0"
	case EndlessTrailer:
		return chunked + "1\r\nx\r\n0\r\n", "Filler: x\r\n"
	case EndlessEvent:
		return head + "\r\nid: 1\ndata: ", "x"
	default:
		return head + "\r\n", "x"
	}
}
