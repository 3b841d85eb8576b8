package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	silentServers = 6
	silentCallers = 240
	// silentShare is the share of the open channels that go silent, as that of reset_conns. One of six servers crashes.
	silentShare = 0.5
	// silentAt is when they do, and silentCrash when one server crashes: before the keep-alive of the project would have
	// shown a silent channel.
	silentAt    = 2500 * time.Millisecond
	silentCrash = 3200 * time.Millisecond
	silentSeed  = 61
)

// playSilentChannels plays streams whose answers have no length, while half of the open channels to servers go silent and
// one server crashes.
func playSilentChannels(l *lab) (bool, error) {
	const service = "huvo11a"
	var servers []*serverProcess
	var proxies []*proxy
	for i := range silentServers {
		s, err := l.startServer(fmt.Sprintf("i-%d", i), anyPort, 0)
		if err != nil {
			return false, err
		}
		p, err := newProxy(s.address)
		if err != nil {
			return false, err
		}
		servers, proxies = append(servers, s), append(proxies, p)
		l.listAt(s.id, p.address(), service, 64)
		go p.run()
	}
	l.publish(service, 370,
		route{Name: "plan", Prefix: "/lohu930/", Type: "stream", TimeoutMs: 12000, LatencyMs: 800, MaxAttempts: 1, GapMs: 300},
		route{Name: "look", Prefix: "/cufi504/", Type: "safe", TimeoutMs: 1500, LatencyMs: 150, MaxAttempts: 2})
	if err := l.startEntries(2); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	if l.trouble {
		wg.Go(func() { l.silenceAndCrash(proxies, servers[0]) })
	}
	replies := l.callOnKept(silentCallers, request{http.MethodPost, "/lohu930/2f", 12 * time.Second, []byte("plan")})
	wg.Wait()
	return l.judgeStreams(replies, unframedEvents)
}

func (l *lab) silenceAndCrash(proxies []*proxy, crashed *serverProcess) {
	begin := time.Now()
	random := rand.New(rand.NewPCG(silentSeed, silentSeed))
	time.Sleep(silentAt)
	for _, p := range proxies {
		silent, open := p.silence(random, silentShare)
		l.note("%d of %d open channels go silent", silent, open)
	}
	time.Sleep(time.Until(begin.Add(silentCrash)))
	l.note("%s crashes", crashed.id)
	crashed.crash()
}
