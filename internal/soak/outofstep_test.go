package soak

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStreamsAtARouterOutOfStepKeepTheirVersion guards against streams that go on at another software version at a router which
// has not yet noticed that it hears neither of the store nor of other routers.
func TestStreamsAtARouterOutOfStepKeepTheirVersion(t *testing.T) {
	program := buildRouter(t)
	for _, kind := range []Kind{RouterCut, RouterLate} {
		t.Run(string(kind), func(t *testing.T) {
			c := Config{
				Program: program, Dir: t.TempDir(), Seed: 58203, Length: 6 * time.Second, Interval: 300 * time.Millisecond,
				Routers: 6, Targets: 7, Callers: 6, OneVersion: true, Kinds: []Kind{newVersionPrefix + kind}, CountCases: true,
			}
			report, err := Run(c, nil)
			if err != nil {
				t.Fatal(err)
			}
			if report.Violation != nil || report.Counts["streams taken up out of touch"] == 0 || report.Counts["streams taken up in touch"] == 0 {
				t.Error(report)
			}
		})
	}
}

// TestStreamsTakenUpInTouchAreCounted checks which requests count as such that should go on.
func TestStreamsTakenUpInTouchAreCounted(t *testing.T) {
	second := func(s *scenario) {
		s.checker.registered["t2"] = registeredTarget{streamService, "v1", time.Now().Add(-time.Minute)}
	}
	cut := func(router int) func(s *scenario) {
		return func(s *scenario) {
			second(s)
			s.checker.faults = []Fault{{Kind: RouterCut, Index: router, Duration: time.Hour}}
		}
	}
	for name, c := range map[string]struct {
		alter                func(s *scenario)
		inTouch, on, outside int
	}{
		"goes on":           {second, 1, 1, 0},
		"one target":        {func(*scenario) {}, 0, 0, 0},
		"began out of step": {cut(1), 0, 0, 0},
		"out of step":       {cut(2), 0, 0, 1},
		"refused": {func(s *scenario) {
			second(s)
			s.runs, s.fullAnswer, s.answer = nil, false, answer{status: 503, requestID: "r", complete: true}
		}, 1, 0, 0},
	} {
		is := is.New(t)
		s := newScenario(chatRoute)
		s.checker.registered["t1"] = registeredTarget{streamService, "v1", time.Now().Add(-time.Minute)}
		s.request.begunBy = &request{id: "first", route: s.request.route, router: 1, version: "v1", sentAt: time.Now()}
		s.request.router = 2
		c.alter(s)
		s.report()
		t.Log(name)
		again := *s.request // a second request of the same stream does not count
		s.checker.countTakenUp(&again)
		is.Equal(s.checker.counts["streams taken up in touch"], c.inTouch)
		is.Equal(s.checker.counts["streams taken up in touch, gone on"], c.on)
		is.Equal(s.checker.counts["streams taken up out of touch"], c.outside)
	}
}

// TestReportNetworkInjectsFaults checks what reaches a router of the datagrams of another one.
func TestReportNetworkInjectsFaults(t *testing.T) {
	is := is.New(t)
	n, err := newReportNetwork(2, 1)
	is.NoErr(err)
	defer n.close()
	var conns []*net.UDPConn
	for i := range 2 {
		address, err := net.ResolveUDPAddr("udp4", loopback(i+1, peerPort(i)))
		is.NoErr(err)
		conn, err := net.ListenUDP("udp4", address)
		is.NoErr(err)
		defer conn.Close()
		conns = append(conns, conn)
	}
	receive := func(wait time.Duration) (string, string) {
		buf := make([]byte, 100)
		is.NoErr(conns[1].SetReadDeadline(time.Now().Add(wait)))
		size, from, err := conns[1].ReadFromUDP(buf)
		if err != nil {
			return "", ""
		}
		return string(buf[:size]), from.String()
	}
	for _, c := range []struct {
		router, copies int
		fault          reportFault
	}{
		{0, 1, reportFault{}},
		{0, 0, reportFault{sentLost: 1}},
		{1, 0, reportFault{receivedLost: 1}},
		{1, 1, reportFault{sentLost: 1}},
		{0, 1, reportFault{receivedLost: 1}},
		{0, 2, reportFault{twice: true}},
		{1, 1, reportFault{delay: 20 * time.Millisecond}},
	} {
		n.setFault(c.router, c.fault)
		_, err := conns[0].WriteToUDP([]byte("from "+loopback(1, peerPort(0))), n.sockets[0][1].LocalAddr().(*net.UDPAddr))
		is.NoErr(err)
		for range c.copies {
			text, from := receive(5 * time.Second)
			is.Equal(text, "from "+loopback(1, peerPort(1))) // the port that the receiver uses for all routers
			is.Equal(from, loopback(1, peerPort(1)))
		}
		text, _ := receive(100 * time.Millisecond)
		is.Equal(text, "")
		n.setFault(c.router, reportFault{})
	}
}

// TestNewVersionsComeWhileRoutersAreOutOfStep checks the faults of a schedule with new versions.
func TestNewVersionsComeWhileRoutersAreOutOfStep(t *testing.T) {
	is := is.New(t)
	c := Config{Length: time.Minute, Interval: 100 * time.Millisecond, Routers: 6, Targets: 7, Kinds: []Kind{newVersionPrefix + RoutersCut}}
	faults := Schedule(3, c)
	is.Equal(len(faults), 6) // two routers and a version, twice
	for i := 0; i < len(faults); i += 3 {
		is.Equal(faults[i].Kind, RouterCut)
		is.Equal(faults[i+1].Index-faults[i].Index, zones)
		is.Equal(faults[i+2].Kind, NewVersion)
		is.True(faults[i+2].Break < faults[i+2].Duration)
	}
}
