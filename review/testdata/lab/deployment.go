package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the settings of tertu-lb have them.
const (
	heartbeatInterval = 770 * time.Millisecond
	touchWindow       = 4 * time.Second // connectivityWindowMs
	drainTime         = 3 * time.Second // drainMs
	configTime        = 3 * time.Second // configPropagationMs
)

// Offsets of ports from the base port. All machines use the same ports.
const (
	portAPI = iota
	portReady
	portMetrics
	portPackets
	portFeed // first internal port; the next one is the last
	portLog
	portBackend
	portCount
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// machine is one machine of the deployment with the process that runs on it.
type machine struct {
	name, zone, ip string
	control        bool
	settings       string // path of the settings file
	data           string // data folder of a control host
	cmd            *exec.Cmd
}

// lab is a deployment on loopback addresses with one machine of the core and one entry
// machine in each zone.
type lab struct {
	folder   string // temporary folder of the settings, disks and logs
	quayd    string
	base     int
	net      string // first two bytes of all addresses
	controls []*machine
	entries  []*machine
	started  time.Time

	mu     sync.Mutex
	record *os.File
}

// newLab prepares a deployment. Nothing runs yet.
func newLab(quayd string, record *os.File) (*lab, error) {
	folder, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return nil, err
	}
	l := &lab{folder: folder, quayd: quayd, record: record, started: time.Now()}
	l.net = fmt.Sprintf("127.%d", 100+rand.IntN(100))
	for i, zone := range zones {
		l.controls = append(l.controls, &machine{name: "core-" + zone, zone: zone, ip: fmt.Sprintf("%s.%d.1", l.net, i+1), control: true})
		l.entries = append(l.entries, &machine{name: "front-" + zone, zone: zone, ip: fmt.Sprintf("%s.%d.2", l.net, i+1)})
	}
	for range 100 {
		l.base = 20000 + rand.IntN(20000)
		if l.portsAreFree() {
			return l, nil
		}
	}
	return nil, fmt.Errorf("no free ports")
}

func (l *lab) portsAreFree() bool {
	for _, m := range append(l.controls[:len(l.controls):len(l.controls)], l.entries...) {
		for p := range portCount {
			tcp, err := net.Listen("tcp", l.addr(m.ip, p))
			if err != nil {
				return false
			}
			_ = tcp.Close()
			udp, err := net.ListenPacket("udp", l.addr(m.ip, p))
			if err != nil {
				return false
			}
			_ = udp.Close()
		}
	}
	return true
}

// addr returns an address with one of the deployment's ports.
func (l *lab) addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, l.base+port) }

// writeSettings renders platform/settings.jsonc for a machine.
func (l *lab) writeSettings(m *machine, first bool) error {
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "region"
	}
	var seeds []string
	for _, c := range l.controls {
		seeds = append(seeds, l.addr(c.ip, portAPI))
	}
	s := map[string]any{
		"name": m.name, "role": "entry", "zone": m.zone, "ip": m.ip,
		"packets": l.addr(m.ip, portPackets), "ready": l.addr(m.ip, portReady), "api": "",
		"internal": []int{l.base + portFeed, l.base + portLog}, "metrics": l.addr(m.ip, portMetrics),
		"seeds": seeds, "firstStart": first, "data": "",
		"heartbeatMs": heartbeatInterval.Milliseconds(), "tolerateLoss": 1, "drainMs": drainTime.Milliseconds(),
		"staleMs": 2000, "memoryMb": 206, "linkMbps": 700.0, "graceS": 6,
		"contracts": []string{"base", "drain", "config", "cost", "recover", "flows"}, "zones": regions,
	}
	if m.control {
		m.data = filepath.Join(l.folder, m.name+".data")
		s["role"], s["packets"], s["ready"], s["api"], s["data"] = "control", "", "", l.addr(m.ip, portAPI), m.data
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	m.settings = filepath.Join(l.folder, m.name+".yaml")
	return os.WriteFile(m.settings, data, 0o600)
}

// start starts the process of a machine.
func (l *lab) start(m *machine, first bool) error {
	if err := l.writeSettings(m, first); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(l.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	m.cmd = exec.Command(l.quayd, "host", "--config", m.settings)
	m.cmd.Stdout, m.cmd.Stderr = out, out
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the case
	return m.cmd.Start()
}

// startAll starts all machines for the first time.
func (l *lab) startAll() error {
	for _, m := range l.controls {
		if err := l.start(m, true); err != nil {
			return err
		}
	}
	for _, m := range l.entries {
		if err := l.start(m, true); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) }

// kill ends the process of a machine and waits for its end.
func (m *machine) kill() {
	if m.cmd == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	_ = m.cmd.Wait()
	m.cmd = nil
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	for _, m := range append(l.controls[:len(l.controls):len(l.controls)], l.entries...) {
		m.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.folder)
	}
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

var client = &http.Client{Timeout: time.Second}

// post sends a call to a control host and returns the status, 0 if no answer came.
func (l *lab) post(m *machine, path string, body []byte) (int, string) {
	return l.postBy(client, m, path, body)
}

// postBy is post with a client.
func (l *lab) postBy(client *http.Client, m *machine, path string, body []byte) (int, string) {
	r, err := client.Post("http://"+l.addr(m.ip, portAPI)+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	var answer bytes.Buffer
	_, _ = answer.ReadFrom(r.Body)
	return r.StatusCode, answer.String()
}

// isReady returns the answer of an entry machine's readiness check.
func (l *lab) isReady(m *machine) bool {
	r, err := client.Get("http://" + l.addr(m.ip, portReady) + "/api/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// await waits until done returns true, for at most limit.
func await(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}
