package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const hostCount = 3

// Ports of a host, as offsets from the base.
const (
	portAPI = iota
	portMetrics
	portFeed
	portLog
	portCount
)

// lab is a deployment of control hosts on loopback addresses.
type lab struct {
	quayd   string
	folder  string
	trouble string // see main
	base    int
	hosts   []*host
	links   map[[2]int]*link
	began   time.Time

	mu     sync.Mutex
	record *os.File
	closed bool
}

// host is one control host and its process.
type host struct {
	lab    *lab
	number int
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

func newLab(quayd, record, trouble string) (*lab, error) {
	if _, err := os.Stat(quayd); err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	l := &lab{quayd: quayd, folder: folder, trouble: trouble, links: map[[2]int]*link{}, began: time.Now(), record: file}
	if err := l.findPorts(); err != nil {
		return nil, err
	}
	for i := range hostCount {
		l.hosts = append(l.hosts, &host{lab: l, number: i, name: fmt.Sprintf("core-%d", i)})
	}
	for from := range hostCount {
		for to := range hostCount {
			if from != to {
				if err := l.addLink(from, to); err != nil {
					return nil, err
				}
			}
		}
	}
	return l, nil
}

func (l *lab) ip(host int) string { return fmt.Sprintf("127.41.1.%d", host+1) }

func (l *lab) addr(host, port int) string { return fmt.Sprintf("%s:%d", l.ip(host), l.base+port) }

// proxyAddr returns the address at which one host reaches a port of another one.
func (l *lab) proxyAddr(from, to, port int) string {
	return fmt.Sprintf("127.41.%d.%d:%d", 10+from, to+1, l.base+port)
}

// findPorts finds a range of ports that is free on all addresses.
func (l *lab) findPorts() error {
	for range 50 {
		probe, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		l.base = probe.Addr().(*net.TCPAddr).Port
		_ = probe.Close()
		if l.base+portCount < 65000 && l.isFree() {
			return nil
		}
	}
	return fmt.Errorf("no free range of ports")
}

func (l *lab) isFree() bool {
	for host := range hostCount {
		for port := range portCount {
			listener, err := net.Listen("tcp", l.addr(host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// disturbs reports whether disruptions are played, the final fault or another one.
func (l *lab) disturbs(isFinal bool) bool {
	return l.trouble != "0" && (isFinal || l.trouble != "final")
}

// logf writes a line to the record.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that this program started.
func (l *lab) close() {
	l.mu.Lock()
	done := l.closed
	l.closed = true
	l.mu.Unlock()
	if done {
		return
	}
	for _, h := range l.hosts {
		h.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.folder)
	} else {
		fmt.Fprintln(os.Stderr, "kept", l.folder)
	}
}

// settings returns the settings file of a host, with the values of a small deployment.
func (h *host) settings(first bool) []byte {
	l := h.lab
	var seeds []string
	via := map[string]string{}
	for to := range hostCount {
		seeds = append(seeds, l.addr(to, portAPI))
		if to != h.number {
			for _, port := range []int{portFeed, portLog} {
				via[l.addr(to, port)] = l.proxyAddr(h.number, to, port)
			}
		}
	}
	data, _ := json.Marshal(map[string]any{
		"name": h.name, "role": "control", "zone": fmt.Sprintf("rvk-%c", 'a'+h.number), "ip": l.ip(h.number),
		"packets": "", "ready": "", "api": l.addr(h.number, portAPI), "internal": []int{l.base + portFeed, l.base + portLog},
		"metrics": l.addr(h.number, portMetrics), "seeds": seeds, "firstStart": first, "data": h.data(), "heartbeatMs": 770,
		"tolerateLoss": 1, "drainMs": 3000, "staleMs": 2000, "memoryMb": 280, "linkMbps": 1000.0, "graceS": 6,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "flows"},
		"zones":     map[string]string{"rvk-a": "reykjavik", "rvk-b": "reykjavik", "rvk-c": "reykjavik"}, "via": via,
	})
	return data
}

func (h *host) data() string { return filepath.Join(h.lab.folder, h.name+".data") }

// start starts the process as the deploy file does.
func (h *host) start(first bool) error {
	path := filepath.Join(h.lab.folder, h.name+".jsonc")
	if err := os.WriteFile(path, h.settings(first), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.lab.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(h.lab.quayd, "host", "--config", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	h.lab.logf("started %s (first start: %v)", h.name, first)
	return nil
}

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Signal(syscall.SIGKILL)
	<-h.exited
	h.cmd = nil
}

// leader returns the number of the host that leads, by the latest term in the logs.
func (l *lab) leader() (number int, ok bool) {
	latest := uint64(0)
	for _, h := range l.hosts {
		data, _ := os.ReadFile(filepath.Join(l.folder, h.name+".log"))
		for _, line := range lines(data) {
			var x struct{ Msg string }
			var addr string
			var term uint64
			if json.Unmarshal([]byte(line), &x) != nil {
				continue
			}
			if n, _ := fmt.Sscanf(strings.TrimPrefix(x.Msg, "log: "), "host %s leads in term %d", &addr, &term); n != 2 || term < latest {
				continue
			}
			for i := range l.hosts {
				if addr == l.addr(i, portLog) {
					latest, number, ok = term, i, true
				}
			}
		}
	}
	return number, ok
}

func lines(data []byte) []string { return strings.Split(string(bytes.TrimSpace(data)), "\n") }

func contains(line, text string) bool { return strings.Contains(line, text) }
