package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	killedTime    = 100 * time.Second
	killedServers = 8
	// killedEntries is the number of entries. One of them is slow, a share of 0.14, and has more clients
	// than the others.
	killedEntries = 7
	usualReaders  = 10
	slowReaders   = 60
	// A server is killed after minKillInterval to maxKillInterval, and back after killedDown.
	minKillInterval = 400 * time.Millisecond
	maxKillInterval = 1200 * time.Millisecond
	killedDown      = 60 * time.Millisecond
	startupTime     = 30 * time.Millisecond
	// The slow entry runs for slowRun of each slowRun + slowStop, 5.5 times slower, in spans.
	slowRun   = 8 * time.Millisecond
	slowStop  = 36 * time.Millisecond
	slowSpan  = 5500 * time.Millisecond
	slowPause = 500 * time.Millisecond
	// wholeBody is the size of an answer in bytes. Its halves are up to maxAnswerPause ms apart, and the
	// first one comes after up to maxFirstHalf ms.
	wholeBody      = 400
	maxAnswerPause = 60
	maxFirstHalf   = 25
	// listenTries limits the tries to listen at an address from which a killed process has just gone.
	listenTries = 200
)

func init() { plays["killed-server"] = playKilledServer }

// playKilledServer kills servers, which are back soon, while one entry is slow. The rule is MIXED.
func playKilledServer(c *caseRun) ([]string, error) {
	d, err := newDeployment(c, killedEntries, 284, config(5000), nil)
	defer d.close()
	if err != nil {
		return nil, err
	}
	end := time.Now().Add(killedTime)
	var all sync.WaitGroup
	for i := range killedServers {
		k, err := newKilled(d, i)
		if err != nil {
			return nil, err
		}
		all.Go(func() { k.killUntil(end, c.trouble) })
	}
	time.Sleep(time.Second)
	if c.trouble {
		all.Go(func() { slowUntil(end, d.entries[0]) })
	}
	w := &wholeLog{record: c.record, statuses: make(map[int]int)}
	for i, e := range d.entries {
		readers := usualReaders
		if i == 0 {
			readers = slowReaders
		}
		for range readers {
			all.Go(func() { w.readUntil(end, e.frontend) })
		}
	}
	all.Wait()
	c.record.print("answers by status: %v, of which cut: %d", w.statuses, len(w.broken))
	return w.broken, nil
}

// slowUntil lets an entry run for a part of the time, in spans.
func slowUntil(end time.Time, e *entry) {
	p, _ := e.process()
	for time.Now().Before(end) {
		for span := time.Now().Add(slowSpan); time.Now().Before(span); time.Sleep(slowRun) {
			_ = p.Signal(syscall.SIGSTOP)
			time.Sleep(slowStop)
			_ = p.Signal(syscall.SIGCONT)
		}
		time.Sleep(slowPause)
	}
}

// killed is a server that runs as a process of its own.
type killed struct {
	*server
	deployment *deployment
	cmd        *exec.Cmd
	// recorded is closed when all that the process has written is recorded.
	recorded chan struct{}
}

func newKilled(d *deployment, number int) (*killed, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	s := &server{id: fmt.Sprintf("i-%08x", number+1), service: "map-api", slots: 60, address: l.Addr().String()}
	return &killed{server: s, deployment: d}, nil
}

// start starts the process and registers it.
func (k *killed) start() error {
	k.cmd = exec.Command(os.Args[0], "serve", k.id, k.address)
	k.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	runs, err := k.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := k.cmd.Start(); err != nil {
		return err
	}
	k.recorded = make(chan struct{})
	go k.recordRuns(runs)
	k.born = time.Now()
	time.Sleep(startupTime)
	k.deployment.register(k.server, 1)
	return nil
}

// recordRuns records the lines that the process writes, until it ends.
func (k *killed) recordRuns(r io.Reader) {
	defer close(k.recorded)
	for lines := bufio.NewScanner(r); lines.Scan(); {
		k.deployment.run.record.add("server %s %s", k.id, lines.Text())
	}
}

// killUntil kills the process and starts it again, if trouble is set.
func (k *killed) killUntil(end time.Time, trouble bool) {
	for time.Now().Before(end) {
		if err := k.start(); err != nil {
			k.deployment.run.record.print("%v", err)
			return
		}
		wait := minKillInterval + rand.N(maxKillInterval-minKillInterval)
		if !trouble {
			wait = time.Until(end) + slowSpan
		}
		time.Sleep(wait)
		_ = k.cmd.Process.Kill()
		<-k.recorded
		_ = k.cmd.Wait()
		k.deployment.run.record.add("server %s is killed", k.id)
		time.Sleep(killedDown)
	}
}

// wholeLog collects the answers of clients.
type wholeLog struct {
	record *record

	mu       sync.Mutex
	statuses map[int]int
	broken   []string
}

// readUntil sends unsafe requests, each with another body, and reads the answers.
func (w *wholeLog) readUntil(end time.Time, address string) {
	for time.Now().Before(end) {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(restartDelay)
			continue
		}
		for br := bufio.NewReader(c); time.Now().Before(end) && w.read(c, br); {
			continue
		}
		_ = c.Close()
	}
}

// read sends a request and reads its answer. It reports whether the channel can be used again.
func (w *wholeLog) read(c net.Conn, br *bufio.Reader) bool {
	const deadline = 5 * time.Second
	id := newID()
	w.record.add("client: sends %s to %s", id, c.RemoteAddr())
	_ = c.SetDeadline(time.Now().Add(deadline))
	_, err := fmt.Fprintf(c, "POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nCredential: %s\r\nContent-Length: %d\r\n\r\n%s",
		hostName, id, deadline.Milliseconds(), clientKey, len(id), id)
	if err != nil {
		return false
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(resp.Body)
	w.record.add("client: %s: status %d signed %v, %d bytes, error %v", id, resp.StatusCode, resp.Header.Get("Server-Signature") != "", len(body), err)
	w.mu.Lock()
	w.statuses[resp.StatusCode]++
	if resp.StatusCode == http.StatusOK && err == nil && len(body) != wholeBody {
		w.broken = append(w.broken, fmt.Sprintf("MIXED: %s got 200, signed and complete, with %d bytes of %d", id, len(body), wholeBody))
	}
	w.mu.Unlock()
	if resp.StatusCode == http.StatusServiceUnavailable {
		time.Sleep(retryAfter(resp.Header, deadline))
	}
	return err == nil && !resp.Close
}

// serveProcess is the process of a killed server. It returns if it can't listen.
func serveProcess(id, address string) {
	var l net.Listener
	var err error
	for range listenTries {
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	s := &server{id: id, slots: 60}
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveHalves(c)
	}
}

// serveHalves answers requests in two halves, without a length, and closes the channel behind them.
func (s *server) serveHalves(c net.Conn) {
	defer c.Close()
	for br := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Attempt-Id")
		switch {
		case r.URL.Path == healthPath:
			_, _ = io.WriteString(c, s.answer(http.StatusOK, "", "Instance-Id: "+s.id+"\r\n", ""))
			continue
		case r.Header.Get("Expect-Instance") != s.id:
			_, _ = io.WriteString(c, s.answer(http.StatusMisdirectedRequest, id, "Instance-Id: "+s.id+"\r\n", ""))
			continue
		}
		fmt.Println("runs", id)
		time.Sleep(time.Duration(rand.IntN(maxFirstHalf)) * time.Millisecond)
		half := strings.Repeat("b", wholeBody/2)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: sig-%s-%s\r\n\r\n%s", id, s.id, id, half)
		time.Sleep(time.Duration(rand.IntN(maxAnswerPause)) * time.Millisecond)
		if _, err := io.WriteString(c, half); err == nil {
			fmt.Println("has sent the whole answer to", id)
		}
		return
	}
}
