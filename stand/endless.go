package stand

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
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
	start, repeated := t.endlessPart(behaviour, id)
	block := bytes.Repeat([]byte(repeated), endlessBlock/len(repeated)+1)
	_, err = c.Write([]byte(start))
	for err == nil {
		select {
		case <-t.stop:
			return
		default:
		}
		_, err = c.Write(block)
	}
}

// endlessPart returns how the answer begins, and what is repeated after that.
func (t *Target) endlessPart(behaviour Behaviour, id string) (start, repeated string) {
	const status = "HTTP/1.1 200 OK\r\n"
	head := fmt.Sprintf("%sAttempt-Id: %s\r\nServer-Signature: sig-%s\r\n", status, id, t.Name)
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
