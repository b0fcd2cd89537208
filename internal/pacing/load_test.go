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

// The load of one entry host with a link of 1.4 Mbit/s: uploads of 40 kB in windows of
// 16 packets, and short requests. The link buffers a few packets and drops the rest. A
// sender repeats a packet after 200 ms and doubles the timeout each time, up to 1.6 s.
const (
	loadLinkMbps        = 1.4
	linkBufferBytes     = 5 * 1286
	windowPackets       = 16
	uploadPackets       = 34
	initialTimeout      = 200 * ms
	maxTimeout          = 1600 * ms
	answerDelay         = 4 * ms // from the arrival of a packet until its sender has the acknowledgement
	uploadTimeLimit     = 1200 * ms
	requestTimeLimit    = 400 * ms
	meanUploadInterval  = time.Second // between the starts of two uploads
	meanRequestInterval = 100 * ms
	simulatedTime       = 200 * time.Second
)

// transfer is one upload or request.
type transfer struct {
	kind      string
	packets   int
	data      int // bytes of each packet
	timeLimit time.Duration
	started   time.Duration
	ended     time.Duration // 0 while it runs
	acked     []bool
	next      int // first packet that was not yet sent
}

// simulation runs the load, with or without pacing.
type simulation struct {
	now       time.Duration
	events    events
	rng       *rand.Rand
	queue     *Queue // nil without pacing
	timerSet  bool
	busyUntil time.Duration // when the link has sent all that it buffers
	transfers []*transfer
}

type event struct {
	at  time.Duration
	run func()
}

// events is a heap ordered by time.
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

func simulate(paced bool, seed uint64) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 1))}
	if paced {
		w.queue = New(loadLinkMbps)
	}
	w.startTransfers("upload", meanUploadInterval, uploadPackets, 1200, uploadTimeLimit)
	w.startTransfers("request", meanRequestInterval, 1, 150, requestTimeLimit)
	for len(w.events) > 0 && w.now < simulatedTime {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	return w
}

func (w *simulation) after(d time.Duration, fn func()) { heap.Push(&w.events, event{w.now + d, fn}) }

// startTransfers starts transfers of a kind at random times.
func (w *simulation) startTransfers(kind string, meanInterval time.Duration, packets, data int, timeLimit time.Duration) {
	w.after(time.Duration(w.rng.ExpFloat64()*float64(meanInterval)), func() {
		t := &transfer{kind: kind, packets: packets, data: data, timeLimit: timeLimit, started: w.now, acked: make([]bool, packets)}
		w.transfers = append(w.transfers, t)
		w.sendWindow(len(w.transfers) - 1)
		w.startTransfers(kind, meanInterval, packets, data, timeLimit)
	})
}

// sendWindow sends the packets that the window allows.
func (w *simulation) sendWindow(n int) {
	t := w.transfers[n]
	base := slices.Index(t.acked, false)
	for t.next < t.packets && t.next < base+windowPackets {
		w.transmit(n, t.next, initialTimeout)
		t.next++
	}
}

// transmit sends a packet, and repeats it until it is acknowledged.
func (w *simulation) transmit(n, i int, timeout time.Duration) {
	t := w.transfers[n]
	if t.acked[i] {
		return
	}
	datagram := make([]byte, t.data+40)
	binary.BigEndian.PutUint32(datagram, uint32(n))
	binary.BigEndian.PutUint32(datagram[4:], uint32(i))
	w.entry(&Packet{
		Flow: flow(n % 250), Sequence: uint32(i * 1200), Data: t.data, Small: t.data < 1000,
		Deadline: t.started + t.timeLimit, Datagram: datagram,
	})
	w.after(timeout, func() { w.transmit(n, i, min(2*timeout, maxTimeout)) })
}

// entry passes a packet to the entry host, which queues it or sends it over the link.
func (w *simulation) entry(p *Packet) {
	if w.queue == nil {
		w.sendOverLink(p.Datagram)
		return
	}
	switch w.queue.Offer(w.now, p) {
	case Send:
		w.sendOverLink(p.Datagram)
	case Wait:
		w.setTimer(ms)
	}
}

func (w *simulation) setTimer(wait time.Duration) {
	if w.timerSet || wait == 0 {
		return
	}
	w.timerSet = true
	w.after(wait, func() {
		w.timerSet = false
		for {
			p, wait := w.queue.Next(w.now)
			if p == nil {
				w.setTimer(wait)
				return
			}
			w.sendOverLink(p.Datagram)
		}
	})
}

// sendOverLink sends a datagram, or drops it if the buffer of the link is full.
func (w *simulation) sendOverLink(datagram []byte) {
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

func (w *simulation) acknowledge(n, i int) {
	t := w.transfers[n]
	if t.acked[i] {
		return
	}
	t.acked[i] = true
	if !slices.Contains(t.acked, false) {
		t.ended = w.now
		return
	}
	w.sendWindow(n)
}

// result returns the share of the transfers of a kind that ended within their time
// limit, and the median duration of those that ended.
func (w *simulation) result(kind string) (inTime float64, median time.Duration) {
	started, inLimit := 0, 0
	var times []time.Duration
	for _, t := range w.transfers {
		if t.kind != kind || t.started > simulatedTime-t.timeLimit {
			continue // the simulation ended before its time limit
		}
		started++
		if t.ended == 0 {
			continue
		}
		times = append(times, t.ended-t.started)
		if t.ended-t.started <= t.timeLimit {
			inLimit++
		}
	}
	slices.Sort(times)
	return float64(inLimit) / float64(started), times[len(times)/2]
}

// TestLoadOfASlowLink checks that with pacing nearly all uploads and requests end in
// time. Without pacing, losses on the full link delay both.
func TestLoadOfASlowLink(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		c := qt.New(t)
		paced, plain := simulate(true, seed), simulate(false, seed)
		pacedUploads, pacedMedian := paced.result("upload")
		pacedRequests, _ := paced.result("request")
		plainUploads, plainMedian := plain.result("upload")
		plainRequests, _ := plain.result("request")
		t.Logf("seed %d: uploads in time %.3f (median %v), without pacing %.3f (%v); requests %.3f, without %.3f",
			seed, pacedUploads, pacedMedian.Round(ms), plainUploads, plainMedian.Round(ms), pacedRequests, plainRequests)
		c.Check(pacedUploads >= 0.95, qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Check(pacedRequests >= 0.99, qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Check(pacedUploads > plainUploads, qt.IsTrue, qt.Commentf("seed %d", seed))
		c.Check(pacedRequests > plainRequests, qt.IsTrue, qt.Commentf("seed %d", seed))
	}
}
