package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds and limits of the small deployment, as in sites/tertu-lb.toml.
const (
	heartbeatInterval  = 770 * time.Millisecond
	drainMs            = 3000
	connectivityWindow = 4 * time.Second
	flowWindow         = 2 * time.Second
	graceSeconds       = 6
	controlMemoryMB    = 280
	entryMemoryMB      = 206
	restartDelay       = 500 * time.Millisecond
	callTimeout        = time.Second
)

// Ports of every host, as offsets from the base port.
const (
	portPackets = iota
	portReady
	portAPI
	portMetrics
	portInternal
	portInternalLast
	portCount
)

var zones = []string{"rvk-a", "rvk-b", "rvk-c"}

// record is the file record.txt of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

// logf writes one line with the time since the start of the case.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	fmt.Println(line)
}

// process is one host of the system, run with the command of the deploy file.
type process struct {
	d       *deployment
	name    string
	role    string
	zone    string
	ip      string
	memory  int
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	starts  int
	ends    []string // ends that the case did not cause, with their reasons
	over    bool     // the platform ended it, since it used more memory than it may
	stopped bool     // the case ended it
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	rec      *record
	folder   string
	base     int
	controls []*process
	entries  []*process
	done     chan struct{}
	http     *http.Client
}

func newDeployment(rec *record, controls, entries int) (*deployment, error) {
	folder, err := os.MkdirTemp("", "quay-case-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, folder: folder, done: make(chan struct{})}
	d.http = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for i := range controls {
		d.controls = append(d.controls, &process{
			d: d, name: fmt.Sprintf("core-%s-1", zones[i%len(zones)]), role: "control",
			zone: zones[i%len(zones)], ip: fmt.Sprintf("127.11.%d.1", i+1), memory: controlMemoryMB,
		})
	}
	for i := range entries {
		d.entries = append(d.entries, &process{
			d: d, name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1), role: "entry",
			zone: zones[i%len(zones)], ip: fmt.Sprintf("127.11.%d.%d", i%len(zones)+1, 10+i), memory: entryMemoryMB,
		})
	}
	d.closeOnSignal()
	return d, d.findPorts()
}

// closeOnSignal ends all processes if the case itself is told to end.
func (d *deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			d.close()
			os.Exit(2)
		case <-d.done:
		}
	}()
}

// findPorts chooses a base port whose ports are free on all hosts.
func (d *deployment) findPorts() error {
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		d.base = l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if d.base+portCount < 65535 && d.portsFree() {
			return nil
		}
	}
	return fmt.Errorf("no free range of ports")
}

func (d *deployment) portsFree() bool {
	for _, p := range d.all() {
		for port := range portCount {
			l, err := net.Listen("tcp", p.addr(port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (d *deployment) all() []*process {
	return append(append([]*process{}, d.controls...), d.entries...)
}

func (p *process) addr(port int) string { return fmt.Sprintf("%s:%d", p.ip, p.d.base+port) }

// settings renders the fields of platform/settings.jsonc.
func (p *process) settings(first bool) []byte {
	var seeds []string
	for _, c := range p.d.controls {
		if len(seeds) < 3 {
			seeds = append(seeds, c.addr(portAPI))
		}
	}
	s := map[string]any{
		"name": p.name, "role": p.role, "zone": p.zone, "ip": p.ip, "packets": "", "ready": "", "api": "",
		"internal": []int{p.d.base + portInternal, p.d.base + portInternalLast}, "metrics": p.addr(portMetrics),
		"seeds": seeds, "firstStart": first, "data": "", "heartbeatMs": heartbeatInterval.Milliseconds(),
		"tolerateLoss": 1, "drainMs": drainMs, "staleMs": 2000, "memoryMb": p.memory, "linkMbps": 700.0, "graceS": graceSeconds,
	}
	if p.role == "control" {
		s["api"], s["linkMbps"] = p.addr(portAPI), 1000.0
		s["data"] = filepath.Join(p.d.folder, p.name+".data")
	} else {
		s["packets"], s["ready"] = p.addr(portPackets), p.addr(portReady)
	}
	data, _ := json.MarshalIndent(s, "", "  ")
	return data
}

// start starts the process and watches it: like the platform, it ends a process
// that uses more memory than it may, and starts a process again that has ended.
func (p *process) start(first bool) error {
	path := filepath.Join(p.d.folder, p.name+".settings")
	if err := os.WriteFile(path, p.settings(first), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/quayd", "host", "--config", path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.d.folder}
	if err := cmd.Start(); err != nil {
		return err
	}
	_ = out.Close()
	p.mu.Lock()
	p.cmd, p.exited, p.over, p.stopped = cmd, make(chan struct{}), false, false
	p.starts++
	exited := p.exited
	p.mu.Unlock()
	p.d.rec.logf("%s: started, pid %d, firstStart %v", p.name, cmd.Process.Pid, first)
	go p.watchMemory(cmd.Process.Pid, exited)
	go p.wait(cmd, exited)
	return nil
}

func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	reason := fmt.Sprintf("it exited: %v", err)
	if p.over {
		reason = "it used more memory than memoryMb"
	}
	own := !p.stopped
	if own {
		p.ends = append(p.ends, reason)
	}
	p.mu.Unlock()
	close(exited)
	select {
	case <-p.d.done:
		return
	default:
	}
	if !own {
		return
	}
	p.d.rec.logf("%s: ended by itself: %s", p.name, reason)
	select {
	case <-p.d.done:
	case <-time.After(restartDelay):
		if err := p.start(false); err != nil {
			p.d.rec.logf("%s: could not be started again: %v", p.name, err)
		}
	}
}

// watchMemory ends the process if it uses more memory than it may.
func (p *process) watchMemory(pid int, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-p.d.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		if used := residentBytes(pid); used > float64(p.memory)*1e6 {
			p.mu.Lock()
			p.over = true
			p.mu.Unlock()
			p.d.rec.logf("%s: uses %.0f MB, may use %d MB", p.name, used/1e6, p.memory)
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// residentBytes returns the resident memory of a process, 0 if it has ended.
func residentBytes(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb * 1024
		}
	}
	return 0
}

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// stop ends the process with a signal and waits until it has ended.
func (p *process) stop(sig syscall.Signal) {
	p.mu.Lock()
	if p.cmd == nil {
		p.mu.Unlock()
		return
	}
	p.stopped = true
	pid, exited := p.cmd.Process.Pid, p.exited
	p.mu.Unlock()
	_ = syscall.Kill(pid, sig)
	select {
	case <-exited:
	case <-time.After((graceSeconds + 1) * time.Second):
		_ = syscall.Kill(pid, syscall.SIGKILL)
		<-exited
	}
}

func (p *process) ownEnds() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.ends)
}

func (d *deployment) startAll() error {
	for _, p := range d.all() {
		if err := p.start(true); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	close(d.done)
	for _, p := range d.all() {
		p.mu.Lock()
		p.stopped = true
		cmd, exited := p.cmd, p.exited
		p.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		<-exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("kept", d.folder)
	}
}

// call calls the API of a control host. It returns the status 0 without an answer.
func (d *deployment) call(c *process, method, path string, body []byte, timeout time.Duration) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+c.addr(portAPI)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Header.Set("Content-Type", "application/json")
	client := *d.http
	client.Timeout = timeout
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

// route and service are parts of a configuration.
type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Type            string `json:"type"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
}

type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	MaxFlows   int    `json:"maxFlows"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

type configuration struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

func newConfiguration(version int, services ...string) configuration {
	c := configuration{Version: version, Limits: map[string]int{
		"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
	}}
	for _, s := range services {
		c.Services = append(c.Services, service{Name: s, HealthPath: "/health", MaxFlows: 4667, Protocol: "h1"})
	}
	return c
}

func (c *configuration) addRoute(host string, port int, to string) {
	c.Routes = append(c.Routes, route{
		Name: fmt.Sprintf("r-%07x", len(c.Routes)), Host: host, PathPrefix: fmt.Sprintf("/%d/", port), Type: "safe",
		TimeoutMs: 2500, TargetLatencyMs: 250, Priority: 2, Service: to, MaxAttempts: 2,
	})
}

// put sends a configuration until it is acknowledged, at the next control host
// after each failure.
func (d *deployment) put(c configuration, first int, limit time.Duration) (acked bool, status int) {
	body, _ := json.Marshal(c)
	until := time.Now().Add(limit)
	pause := 20 * time.Millisecond
	for n := first; time.Now().Before(until); n++ {
		status, _ = d.call(d.controls[n%len(d.controls)], http.MethodPost, "/api/Config.Put", body, 2*callTimeout)
		switch {
		case status == http.StatusOK:
			return true, status
		case status >= 400 && status < 500:
			return false, status
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return false, status
}

// ready reports whether an entry host answers the readiness check with 200.
func (d *deployment) ready(e *process) bool {
	resp, err := (&http.Client{Timeout: 500 * time.Millisecond}).Get("http://" + e.addr(portReady) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (d *deployment) waitReady(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for time.Now().Before(until) {
		all := true
		for _, e := range d.entries {
			all = all && d.ready(e)
		}
		if all {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
