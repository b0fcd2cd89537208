package main

import (
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
