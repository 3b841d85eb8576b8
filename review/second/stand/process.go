package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// serveCommand makes this program a server, so that it can be killed as one.
const serveCommand = "serve-streams"

// processIdle is how long the channels of a server that is a process stay open without a request.
const processIdle = 20 * time.Second

// serverProcess is a server that runs as a process of its own.
type serverProcess struct {
	id, address string
	cmd         *exec.Cmd
	exited      chan struct{}
}

// startServer starts a server whose streams have no length. It runs a number of requests at once; 0 for any.
func (l *lab) startServer(id, address string, slots int) (*serverProcess, error) {
	s := &serverProcess{id: id, exited: make(chan struct{})}
	s.cmd = exec.Command(os.Args[0], serveCommand, id, address, strconv.Itoa(slots))
	s.cmd.Stderr = os.Stderr
	out, err := s.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	told := make(chan string, 1)
	err = l.launch(func() error {
		if err := s.cmd.Start(); err != nil {
			return errors.Wrap(err, "start a server")
		}
		go s.read(l, lines, told)
		l.servers = append(l.servers, s)
		return nil
	})
	if err != nil {
		return nil, err
	}
	if s.address = <-told; s.address == "" {
		return nil, errors.New("a server tells no address")
	}
	return s, nil
}

// read passes on the address that the server tells first, and adds the rest to the record, until the server ends.
func (s *serverProcess) read(l *lab, lines *bufio.Scanner, told chan<- string) {
	lines.Scan()
	told <- lines.Text()
	for lines.Scan() {
		_, text, _ := strings.Cut(strings.TrimSpace(lines.Text()), " ")
		l.note("%s", text)
	}
	_ = s.cmd.Wait()
	close(s.exited)
}

// crash kills the process.
func (s *serverProcess) crash() {
	_ = s.cmd.Process.Kill() // fails if it has ended
	<-s.exited
}

// serveStreams is the process of a server. It writes its address and then its runs.
func serveStreams(id, address, places string) int {
	l := &lab{start: time.Now(), record: os.Stdout}
	s, err := l.newServerAt(address, id, processIdle, 0)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s.answer = s.streamUnframed
	if n, _ := strconv.Atoi(places); n > 0 {
		s.answer, s.slots = s.streamInSlot, make(slots, n)
	}
	fmt.Println(s.address())
	s.run()
	return exitHeld
}
