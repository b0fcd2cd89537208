package fleet

import (
	"context"
	"sync"
	"time"

	"greengagequay/internal/feed"
)

// Times of looking for control hosts.
const (
	dialTimeout    = 500 * time.Millisecond
	redialPause    = 100 * time.Millisecond // after a first failed try
	maxRedialPause = time.Second
	// Until a host knows enough to work it tries more often: a dark host does
	// not refuse a connection, and the attempt would wait for long after the
	// host has power again.
	coldDialTimeout = 60 * time.Millisecond
	coldRedialPause = 20 * time.Millisecond
	// coldTries is after how many failed attempts the timeout doubles: the host
	// may be far away.
	coldTries   = 3
	forgetAfter = 30 * time.Second // a control host that is no seed and does not answer
)

// links holds the connections to the control hosts that this host follows, and
// what it knows of where control hosts are. It is safe for concurrent use.
type links struct {
	ctx  context.Context
	self feed.Presence
	via  map[string]string
	sink feed.Sink

	mu    sync.Mutex
	known map[string]*knownHost // by feed address
	cold  bool                  // this host does not know enough to work
}

// knownHost is a control host that is or was somewhere.
type knownHost struct {
	addr     string
	presence feed.Presence // as it said itself, empty before
	zone     string        // as others say
	seed     bool
	current  bool // it said that it is in touch with a quorum
	link     *feed.Link
	dialing  bool
	pause    time.Duration // before the next try
	failures int           // attempts to connect that failed in a row
	retryAt  time.Time
	heardAt  time.Time // when it, or another host in touch with it, was heard
}

func newLinks(ctx context.Context, self feed.Presence, via map[string]string, sink feed.Sink) *links {
	return &links{ctx: ctx, self: self, via: via, sink: sink, known: map[string]*knownHost{}}
}

// warm tells whether this host knows enough to work.
func (l *links) warm(yes bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold = !yes
}

// limits returns the timeout of the next attempt to reach a host, and the pause
// after it if it fails.
func (l *links) limits(h *knownHost) (timeout, pause time.Duration) {
	if !l.cold {
		return dialTimeout, min(max(2*h.pause, redialPause), maxRedialPause)
	}
	timeout = coldDialTimeout
	for n := h.failures; n >= coldTries && timeout < dialTimeout; n -= coldTries {
		timeout *= 2
	}
	return min(timeout, dialTimeout), coldRedialPause
}

// seeds replaces the seeds.
func (l *links) seeds(addrs []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.known {
		h.seed = false
	}
	for _, addr := range addrs {
		if h := l.learn(addr); h != nil {
			h.seed = true
		}
	}
}

// learn returns the known host at an address. It is nil for this host itself.
func (l *links) learn(addr string) *knownHost {
	if addr == l.self.Addr {
		return nil
	}
	h := l.known[addr]
	if h == nil {
		h = &knownHost{addr: addr, heardAt: time.Now()}
		l.known[addr] = h
	}
	return h
}

// told notes what a host said of itself and of its peers.
func (l *links) told(addr string, u feed.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if h := l.learn(addr); h != nil {
		h.heardAt, h.current = now, u.Current
		if u.From.Addr != "" {
			h.presence, h.zone = u.From, u.From.Zone
		}
	}
	for _, p := range u.Peers {
		l.heardOf(p, now)
	}
}

func (l *links) heardOf(p feed.Presence, now time.Time) {
	if h := l.learn(p.Addr); h != nil {
		h.heardAt, h.zone = now, p.Zone
	}
}

// met notes a control host that follows this one.
func (l *links) met(p feed.Presence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heardOf(p, time.Now())
}

// dial opens links to the wanted hosts that have none, and closes the others.
func (l *links) dial(wanted func(known []*knownHost) map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget()
	var list []*knownHost
	for _, h := range l.known {
		list = append(list, h)
	}
	want := wanted(list)
	now := time.Now()
	for _, h := range list {
		switch {
		case !want[h.addr] && h.link != nil:
			h.link.Close()
		case want[h.addr] && h.link == nil && !h.dialing && !now.Before(h.retryAt):
			h.dialing = true
			timeout, pause := l.limits(h)
			go l.connect(h, timeout, pause)
		}
	}
}

func (l *links) forget() {
	now := time.Now()
	for addr, h := range l.known {
		if h.link == nil && !h.dialing && !h.seed && now.Sub(h.heardAt) > forgetAfter {
			delete(l.known, addr)
		}
	}
}

// connect opens a link and waits for its end.
func (l *links) connect(h *knownHost, timeout, pause time.Duration) {
	through, ok := l.via[h.addr]
	if !ok {
		through = h.addr
	}
	link, err := feed.Follow(l.ctx, h.addr, through, timeout, l.self, l.sink)
	l.mu.Lock()
	h.dialing = false
	if err != nil {
		h.pause = pause
		h.failures++
		h.retryAt = time.Now().Add(h.pause)
		l.mu.Unlock()
		return
	}
	h.link, h.pause, h.failures = link, 0, 0
	l.mu.Unlock()
	<-link.Done()
	l.mu.Lock()
	defer l.mu.Unlock()
	h.link, h.current = nil, false
	h.retryAt = time.Now().Add(redialPause)
}

// open returns the hosts that are followed and have said who they are.
func (l *links) open() []feed.Presence {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []feed.Presence
	for _, h := range l.known {
		if h.link != nil && h.presence.Addr != "" {
			list = append(list, h.presence)
		}
	}
	return list
}

// report tells all followed hosts what this host has seen.
func (l *links) report(r feed.Report) {
	l.mu.Lock()
	var open []*feed.Link
	for _, h := range l.known {
		if h.link != nil {
			open = append(open, h.link)
		}
	}
	l.mu.Unlock()
	for _, link := range open {
		go link.Report(r)
	}
}
