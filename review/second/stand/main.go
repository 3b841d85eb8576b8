// Command stand plays the cases of the second review that are scripts: it starts entries with the command of the
// deploy file, stands in for the platform, the servers and the clients on loopback addresses, and judges what these
// have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxTime ends a case that does not end by itself.
const maxTime = 110 * time.Second

// play plays one case and reports whether its rule was broken.
type play func(l *lab) (broken bool, err error)

var plays = map[string]play{
	"extra-rejection": playExtraRejection,
	"unframed-stream": playUnframedStream,
	"body-read-later": playBodyReadLater,
	"silent-channels": playSilentChannels,
	"full-servers":    playFullServers,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) == 5 && os.Args[1] == serveCommand {
		return serveStreams(os.Args[2], os.Args[3], os.Args[4])
	}
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig-2 CASE FOLDER")
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	l := newLab(record, os.Getenv("TROUBLE") != "0")
	defer l.close()
	go l.abort()
	broken, err := plays[os.Args[1]](l)
	switch {
	case err != nil:
		l.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case broken:
		l.note("verdict: broken")
		return exitBroken
	}
	l.note("verdict: held")
	return exitHeld
}

// abort ends a case that takes too long or is interrupted.
func (l *lab) abort() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-interrupted:
	case <-time.After(maxTime):
	}
	l.note("the case was ended")
	l.close()
	os.Exit(exitNotRun)
}
