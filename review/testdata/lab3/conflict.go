package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Parameters of the case.
const (
	routes          = 358 // 8 idle routes and 350 more, as big_config adds
	segmentBytes    = 16 << 20
	inProgress      = 8 // orders that the operator may have in progress at once
	orderGap        = 60 * time.Millisecond
	cutTime         = 5 * time.Second
	catchUp         = 4500 * time.Millisecond
	changesAfter    = 20
	powerOff        = time.Second
	recovery        = 12 * time.Second
	window          = 4 * time.Second
	changesAtMost   = 400
	usualPatience   = 10 * time.Second
	changesBeforeIt = 4 // changes that still fit into the segment when the cut begins, about
)

// playConflict cuts off the control host that leads while the operator sends changes, and
// later ends all control hosts at once while one of the others loses its disk.
func playConflict(l *lab) (int, error) {
	for _, h := range l.hosts {
		if err := h.start(true); err != nil {
			return unknown, err
		}
	}
	o := newOperator(l, routes)
	all := []int{0, 1, 2}
	if err := o.change(all); err != nil {
		return unknown, err
	}
	time.Sleep(catchUp)
	leader, ok := l.leader()
	if !ok {
		return unknown, fmt.Errorf("no control host leads")
	}
	others := []int{(leader + 1) % hostCount, (leader + 2) % hostCount}
	if err := o.fill(leader, all); err != nil {
		return unknown, err
	}
	wiped := others[0]
	switch {
	case l.trouble == "two":
		if leader, others, ok = o.changeDuringTwoCuts(leader, others); !ok {
			return unknown, fmt.Errorf("no other control host leads after the first cut")
		}
		wiped = none
		fallthrough
	case l.disturbs(false):
		if err := o.changeDuringCut(leader, others); err != nil {
			return unknown, err
		}
	}
	time.Sleep(catchUp)
	for range changesAfter {
		if err := o.change(all); err != nil {
			return unknown, err
		}
	}
	acknowledged := o.last
	if l.disturbs(true) {
		if err := l.finalFault(wiped); err != nil {
			return unknown, err
		}
	}
	if o.readBack(acknowledged, recovery+window+9*time.Second) {
		return held, nil
	}
	for _, line := range l.logged("moved the damaged log aside") {
		l.logf("log of %s", line)
	}
	l.logf("broken: version %d was acknowledged, but no control host returns it %v after the restart", acknowledged, recovery+window)
	return broken, nil
}

// change sends the next configuration until it is acknowledged.
func (o *operator) change(hosts []int) error {
	version, body := o.next()
	first := version / 2 % len(hosts)
	return o.putUntilAccepted(append(hosts[first:len(hosts):len(hosts)], hosts[:first]...), version, body, usualPatience)
}

// fill sends changes until the newest file of the leader's log is almost full.
func (o *operator) fill(leader int, hosts []int) error {
	before := o.lab.logBytes(leader)
	for range changesAtMost {
		if err := o.change(hosts); err != nil {
			return err
		}
		size := o.lab.logBytes(leader)
		if step := size - before; step > 0 && segmentBytes-size < changesBeforeIt*step {
			o.lab.logf("the newest log file of %s has %d bytes, a change takes %d", o.lab.hosts[leader].name, size, step)
			return nil
		}
		before = size
	}
	return fmt.Errorf("the log did not grow as expected")
}

// logBytes returns the size of the newest file of a host's log.
func (l *lab) logBytes(host int) int64 {
	names, _ := filepath.Glob(filepath.Join(l.hosts[host].data(), "log-*"))
	if len(names) == 0 {
		return 0
	}
	info, err := os.Stat(names[len(names)-1])
	if err != nil {
		return 0
	}
	return info.Size()
}

// changeDuringCut cuts the leader off. The operator reaches it at first and sends it
// changes; those that get no clear answer are sent again to the other hosts.
func (o *operator) changeDuringCut(leader int, others []int) error {
	o.lab.logf("cut %s off from the other control hosts", o.lab.hosts[leader].name)
	o.lab.cutOff(leader, true)
	began := time.Now()
	type order struct {
		version int
		body    []byte
		status  int
	}
	orders := make([]order, inProgress)
	var sent sync.WaitGroup
	for i := range orders {
		orders[i].version, orders[i].body = o.next()
		sent.Go(func() { orders[i].status = o.put(leader, orders[i].version, orders[i].body, 2*time.Second) })
		time.Sleep(orderGap)
	}
	sent.Wait()
	for _, x := range orders {
		if x.status == 200 {
			continue
		}
		if err := o.putUntilAccepted(others, x.version, x.body, usualPatience); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(began.Add(cutTime)))
	o.lab.logf("the cut ends after %v", time.Since(began).Round(time.Millisecond))
	o.lab.cutOff(leader, false)
	return nil
}

// changeDuringTwoCuts plays the first of two cuts. During it the operator sends changes to
// the leader only. It returns the host that leads afterwards and the others.
func (o *operator) changeDuringTwoCuts(leader int, others []int) (next int, rest []int, ok bool) {
	o.lab.logf("cut %s off from the other control hosts", o.lab.hosts[leader].name)
	o.lab.cutOff(leader, true)
	began := time.Now()
	var sent sync.WaitGroup
	for range inProgress {
		version, body := o.next()
		sent.Go(func() { o.put(leader, version, body, 2*time.Second) })
		time.Sleep(orderGap)
	}
	sent.Wait()
	time.Sleep(time.Until(began.Add(cutTime)))
	o.lab.cutOff(leader, false)
	time.Sleep(catchUp)
	next, ok = o.lab.leader()
	return next, []int{(next + 1) % hostCount, (next + 2) % hostCount}, ok && next != leader
}

const none = -1

// finalFault ends all control hosts at once, as a loss of power does, and takes the disk
// of one of them, unless wiped is none.
func (l *lab) finalFault(wiped int) error {
	var ended sync.WaitGroup
	for _, h := range l.hosts {
		ended.Go(h.kill)
	}
	ended.Wait()
	l.logf("all control hosts ended at once")
	if wiped != none {
		l.logf("%s lost its disk", l.hosts[wiped].name)
		if err := os.RemoveAll(l.hosts[wiped].data()); err != nil {
			return err
		}
	}
	time.Sleep(powerOff)
	for _, h := range l.hosts {
		if err := h.start(false); err != nil {
			return err
		}
	}
	return nil
}
