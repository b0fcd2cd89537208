package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
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
