package pacing

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The load of one entry host with a link of 1.4 Mbit/s: uploads of 40 kB in
// windows of 16 packets, and short requests. The link holds a few packets and
// loses the rest; a sender repeats a packet after 200 ms, then after twice that.
const (
	loadLinkMbps    = 1.4
	linkBufferBytes = 5 * 1286
	windowPackets   = 16
	uploadPackets   = 34
	firstTimeout    = 200 * ms
	longestTimeout  = 1600 * ms
	answerDelay     = 4 * ms // from the end of the link until the sender knows
	uploadAim       = 1200 * ms
	requestAim      = 400 * ms
	uploadPause     = time.Second // mean between two uploads
	requestPause    = 100 * ms
	loadLength      = 200 * time.Second
)

// transfer is one upload or request.
type transfer struct {
	kind    string
	packets int
	data    int // bytes of each packet
	aim     time.Duration
	began   time.Duration
	ended   time.Duration // 0 until then
	acked   []bool
	next    int // first packet that was not sent yet
}

// world plays the load, with pacing or without.
type world struct {
	now       time.Duration
	events    events
	rng       *rand.Rand
	queue     *Queue // nil without pacing
	armed     bool
	busyUntil time.Duration // of the link
	transfers []*transfer
}

type event struct {
	at time.Duration
	do func()
}

// events is a heap by time.
type events []event

func (h events) Len() int           { return len(h) }
func (h events) Less(i, j int) bool { return h[i].at < h[j].at }
func (h events) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)        { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func play(paced bool, seed uint64) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1))}
	if paced {
		w.queue = New(loadLinkMbps)
	}
	w.arrive("upload", uploadPause, uploadPackets, 1200, uploadAim)
	w.arrive("request", requestPause, 1, 150, requestAim)
	for len(w.events) > 0 && w.now < loadLength {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	return w
}

func (w *world) after(d time.Duration, do func()) { heap.Push(&w.events, event{w.now + d, do}) }

// arrive begins transfers of a kind at random times.
func (w *world) arrive(kind string, pause time.Duration, packets, data int, aim time.Duration) {
	w.after(time.Duration(w.rng.ExpFloat64()*float64(pause)), func() {
		t := &transfer{kind: kind, packets: packets, data: data, aim: aim, began: w.now, acked: make([]bool, packets)}
		w.transfers = append(w.transfers, t)
		w.fill(len(w.transfers) - 1)
		w.arrive(kind, pause, packets, data, aim)
	})
}

// fill sends what the window allows.
func (w *world) fill(n int) {
	t := w.transfers[n]
	base := slices.Index(t.acked, false)
	for t.next < t.packets && t.next < base+windowPackets {
		w.transmit(n, t.next, firstTimeout)
		t.next++
	}
}

// transmit sends a packet until it is acknowledged.
func (w *world) transmit(n, i int, timeout time.Duration) {
	t := w.transfers[n]
	if t.acked[i] {
		return
	}
	datagram := make([]byte, t.data+40)
	binary.BigEndian.PutUint32(datagram, uint32(n))
	binary.BigEndian.PutUint32(datagram[4:], uint32(i))
	w.entry(&Packet{
		Flow: flow(n % 250), Sequence: uint32(i * 1200), Data: t.data, Small: t.data < 1000,
		Deadline: t.began + t.aim, Datagram: datagram,
	})
	w.after(timeout, func() { w.transmit(n, i, min(2*timeout, longestTimeout)) })
}

// entry is the entry host.
func (w *world) entry(p *Packet) {
	if w.queue == nil {
		w.link(p.Datagram)
		return
	}
	switch w.queue.Offer(w.now, p) {
	case Send:
		w.link(p.Datagram)
	case Wait:
		w.arm(ms)
	}
}

func (w *world) arm(wait time.Duration) {
	if w.armed || wait == 0 {
		return
	}
	w.armed = true
	w.after(wait, func() {
		w.armed = false
		for {
			p, wait := w.queue.Next(w.now)
			if p == nil {
				w.arm(wait)
				return
			}
			w.link(p.Datagram)
		}
	})
}

// link carries a datagram, or loses it if it is full.
func (w *world) link(datagram []byte) {
	const bytesPerSecond = loadLinkMbps * 1e6 / 8
	backlog := max(0, w.busyUntil-w.now)
	if backlog.Seconds()*bytesPerSecond > linkBufferBytes {
		return
	}
	size := float64(len(datagram) + headerBytes)
	w.busyUntil = w.now + backlog + time.Duration(size/bytesPerSecond*float64(time.Second))
	n, i := binary.BigEndian.Uint32(datagram), binary.BigEndian.Uint32(datagram[4:])
	w.after(w.busyUntil-w.now+answerDelay, func() { w.acknowledge(int(n), int(i)) })
}

func (w *world) acknowledge(n, i int) {
	t := w.transfers[n]
	if t.acked[i] {
		return
	}
	t.acked[i] = true
	if !slices.Contains(t.acked, false) {
		t.ended = w.now
		return
	}
	w.fill(n)
}

// result returns the share of the transfers of a kind that ended in time, and
// the median time of those that ended.
func (w *world) result(kind string) (inTime float64, middle time.Duration) {
	began, in := 0, 0
	var times []time.Duration
	for _, t := range w.transfers {
		if t.kind != kind || t.began > loadLength-t.aim {
			continue // it may not have had its time
		}
		began++
		if t.ended == 0 {
			continue
		}
		times = append(times, t.ended-t.began)
		if t.ended-t.began <= t.aim {
			in++
		}
	}
	slices.Sort(times)
	return float64(in) / float64(began), times[len(times)/2]
}

// With pacing callers get nearly all of both kinds in time; without, the losses
// of the full link hold up uploads and the requests beside them.
func TestLoadOfASlowLink(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		c := qt.New(t)
		paced, plain := play(true, seed), play(false, seed)
		pacedUploads, middle := paced.result("upload")
		pacedRequests, _ := paced.result("request")
		plainUploads, plainMiddle := plain.result("upload")
		plainRequests, _ := plain.result("request")
		t.Logf("seed %d: uploads in time %.3f (median %v), without pacing %.3f (%v); requests %.3f, without %.3f",
			seed, pacedUploads, middle.Round(ms), plainUploads, plainMiddle.Round(ms), pacedRequests, plainRequests)
		c.Check(pacedUploads >= 0.95, qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Check(pacedRequests >= 0.99, qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Check(pacedUploads > plainUploads, qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Check(pacedRequests > plainRequests, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}
