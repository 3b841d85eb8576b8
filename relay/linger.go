package relay

import (
	"bytes"
	"net"
	"strconv"
	"time"
)

const (
	// lingerTimeout limits the time for which the rest of a rejected request is read, and lingerIdleTimeout
	// the pauses within it.
	lingerTimeout     = 10 * time.Second
	lingerIdleTimeout = 2 * time.Second
	// maxLingerBytes limits what is read of one request, in pieces of lingerBufferBytes.
	maxLingerBytes    = 8 << 20
	lingerBufferBytes = 4 << 10
	// maxLingering limits the connections of a listener without MaxConns that are closed later than their answer.
	maxLingering = 1024
)

// linger closes a connection whose request was answered before its body had arrived, and frees its slot. It reads
// and discards what is still to come before that, because TCP resets a connection that is closed earlier, and the
// answer can be lost. If there are many connections, it closes this one at once.
func (l *Listener) linger(c net.Conn) {
	half, ok := c.(interface{ CloseWrite() error })
	defer l.lingering.Add(-1)
	if l.lingering.Add(1) <= maxLingering && ok && !l.hasManyConns() && half.CloseWrite() == nil {
		discard(c)
	}
	_ = c.Close()
	l.freeSlot()
}

// discard reads from a connection until its peer closes its side.
func discard(c net.Conn) {
	end := time.Now().Add(lingerTimeout)
	b := make([]byte, lingerBufferBytes)
	for n := 0; n < maxLingerBytes && time.Now().Before(end); {
		_ = c.SetReadDeadline(time.Now().Add(lingerIdleTimeout)) // fails only on a closed connection
		read, err := c.Read(b)
		if n += read; err != nil {
			return
		}
	}
}

// isSendingBody reports whether more of a request's body is to come, given its first bytes, which have all headers.
func isSendingBody(first []byte) bool {
	head, body, ok := bytes.Cut(first, []byte("\r\n\r\n"))
	if !ok {
		return true
	}
	for line := range bytes.SplitSeq(head, []byte("\r\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			return err == nil && n > len(body)
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return !bytes.HasSuffix(body, []byte("0\r\n\r\n"))
		}
	}
	return false
}
