package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"greengagequay/platform/standin"
)

// route is a route of a configuration.
type route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"pathPrefix"`
	Type      string `json:"type"`
	TimeoutMs int    `json:"timeoutMs"`
	AimMs     int    `json:"targetLatencyMs"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"maxAttempts"`
}

// service is a service of a configuration.
type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"healthPath"`
	MaxFlows   int    `json:"maxFlows"`
	Protocol   string `json:"protocol"`
	TLS        bool   `json:"tls"`
}

// limits are the limits of a configuration.
type limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

// configuration is a complete configuration.
type configuration struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

// newConfiguration returns a configuration with one route for each service.
func newConfiguration(version int, routes map[string]netip.AddrPort) configuration {
	c := configuration{
		Version: version,
		Limits:  limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	for name, at := range routes {
		c.Routes = append(c.Routes, route{
			Name: "r-" + name, Host: at.Addr().String(), Prefix: fmt.Sprintf("/%d/", at.Port()), Type: "safe",
			TimeoutMs: 2500, AimMs: 250, Priority: 2, Service: name, Attempts: 2,
		})
		c.Services = append(c.Services, service{Name: name, HealthPath: "/health", MaxFlows: 4667, Protocol: "h1"})
	}
	slices.SortFunc(c.Routes, func(a, b route) int { return slices.Compare([]byte(a.Name), []byte(b.Name)) })
	return c
}

// put sends a configuration until a control host acknowledges it.
func (l *lab) put(c configuration) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	for i := range 20 {
		to := l.controls[i%len(l.controls)]
		status, answer := l.post(to, standin.PutPath, body)
		l.note("operator: sends configuration %d to %s: %d %s", c.Version, to.name, status, answer)
		if status == 200 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no control host acknowledged configuration %d", c.Version)
}

// unreadableConfiguration: the operator sends a configuration that holds a byte that is
// no text in UTF-8, so it can't be read in full. It must be refused.
func unreadableConfiguration(l *lab, trouble bool) (bool, error) {
	if err := l.startAll(); err != nil {
		return false, err
	}
	first := newConfiguration(1, map[string]netip.AddrPort{orders: l.routeAt(1)})
	if err := l.put(first); err != nil {
		return false, err
	}
	b, err := l.startBackend("i-7f3a91c2", orders, zones[0], l.net+".9.1")
	if err != nil {
		return false, err
	}
	defer b.stop()
	if err := l.awaitCalm(b); err != nil {
		return false, err
	}
	second := newConfiguration(2, map[string]netip.AddrPort{orders: l.routeAt(2)})
	body, err := json.Marshal(second)
	if err != nil {
		return false, err
	}
	if trouble {
		body = bytes.Replace(body, []byte("r-"+orders), []byte("r-\xff"+orders), 1)
	}
	status, answer := l.post(l.controls[0], standin.PutPath, body)
	l.note("operator: sends %q: %d %s", body, status, answer)
	time.Sleep(configTime)
	read, version := l.read(l.controls[1])
	l.note("operator: reads %q", read)
	c, err := l.newCaller(l.net + ".210.1")
	if err != nil {
		return false, err
	}
	for _, n := range []int{1, 2} {
		f, opened := c.open(l.entries[0], l.routeAt(n))
		l.note("client: opens flow %v to the route of configuration %d: %s", f.key.client, n, opened)
	}
	if !trouble {
		if status != 200 || version != 2 {
			return false, fmt.Errorf("a valid configuration was answered with %d, and version %d was read", status, version)
		}
		return true, nil
	}
	return status != 200 && version == 1, nil
}

// read reads the configuration back, and returns its bytes and its version.
func (l *lab) read(m *machine) (body []byte, version int) {
	r, err := client.Get("http://" + l.addr(m.ip, portAPI) + standin.GetPath)
	if err != nil {
		return nil, 0
	}
	defer r.Body.Close()
	var answer bytes.Buffer
	_, _ = answer.ReadFrom(r.Body)
	var c configuration
	_ = json.Unmarshal(answer.Bytes(), &c) // a version of 0 stands for an answer that can't be read
	return answer.Bytes(), c.Version
}
