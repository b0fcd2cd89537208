package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

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
