package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator sends configurations and reads them back, as PROTOCOL.md says.
type operator struct {
	lab    *lab
	client *http.Client
	routes int
	last   int // version that was sent last
}

func newOperator(l *lab, routes int) *operator {
	return &operator{lab: l, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, routes: routes}
}

// next returns the next configuration. Each changes the time-out of one route.
func (o *operator) next() (version int, body []byte) {
	o.last += 2
	var routes []map[string]any
	for i := range o.routes {
		timeout := 1500
		if i == o.last%o.routes {
			timeout = 1000 + o.last
		}
		routes = append(routes, map[string]any{
			"name": fmt.Sprintf("r-%07d", i), "host": fmt.Sprintf("198.18.%d.%d", 1+i/200, 1+i%200), "pathPrefix": "/8080/", "type": "unsafe",
			"timeoutMs": timeout, "targetLatencyMs": 300, "priority": 1, "service": "pantanir", "maxAttempts": 2,
		})
	}
	body, _ = json.Marshal(map[string]any{
		"version": o.last, "routes": routes,
		"services": []map[string]any{{"name": "pantanir", "healthPath": "/health", "maxFlows": 4667, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	return o.last, body
}

// put sends a configuration to a host. It returns the status, or 0 without an answer
// within the timeout.
func (o *operator) put(host, version int, body []byte, timeout time.Duration) int {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, "POST", "http://"+o.lab.addr(host, portAPI)+"/api/Config.Put", bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(request)
	status := 0
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.StatusCode
	}
	o.lab.logf("put version %d (%d bytes) to %s: %d", version, len(body), o.lab.hosts[host].name, status)
	return status
}

// putUntilAccepted sends a configuration to one host after the other until one
// acknowledges it.
func (o *operator) putUntilAccepted(hosts []int, version int, body []byte, patience time.Duration) error {
	end := time.Now().Add(patience)
	for i := 0; time.Now().Before(end); i++ {
		switch status := o.put(hosts[i%len(hosts)], version, body, 2*time.Second); {
		case status == http.StatusOK:
			return nil
		case status >= 400 && status < 500:
			return fmt.Errorf("version %d was refused with %d", version, status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged within %v", version, patience)
}

// get reads the configuration from a host. It returns its version, or 0.
func (o *operator) get(host int) (version, status int) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, "GET", "http://"+o.lab.addr(host, portAPI)+"/api/Config.Get", nil)
	response, err := o.client.Do(request)
	if err != nil {
		return 0, 0
	}
	defer response.Body.Close()
	var x struct{ Version int }
	if json.NewDecoder(response.Body).Decode(&x) != nil || response.StatusCode != http.StatusOK {
		return 0, response.StatusCode
	}
	return x.Version, response.StatusCode
}

// readBack reads the configuration from all hosts by turns until one returns the wanted
// version or a later one, for at most the given time.
func (o *operator) readBack(want int, patience time.Duration) bool {
	end := time.Now().Add(patience)
	for time.Now().Before(end) {
		for host := range o.lab.hosts {
			version, status := o.get(host)
			o.lab.logf("get from %s: status %d, version %d", o.lab.hosts[host].name, status, version)
			if version >= want {
				return true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}
