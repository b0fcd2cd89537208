package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"greengagequay/platform/standin"
)

const (
	operatorPause = 250 * time.Millisecond
	readerPause   = 100 * time.Millisecond
	orderTries    = 12 // of one document, to any control host
)

var lastVersion atomic.Uint64

// operate sends documents, each until it is accepted. Two operators may take
// the same version for different documents.
func (s *soak) operate() {
	rng := rand.New(rand.NewPCG(s.Seed, rand.Uint64()))
	for s.pause(operatorPause) {
		version := lastVersion.Load() + uint64(1+rng.IntN(3))
		lastVersion.Store(version)
		d := standin.Document{Version: version, Note: fmt.Sprintf("note-%d", rng.Uint64())}
		for i, name := range services {
			d.Services = append(d.Services, standin.Service{Name: name})
			d.Routes = append(d.Routes, standin.RouteTo(name, s.layout.route(i)))
		}
		s.checks.sending(version, d.Note)
		body := standin.Encode(d)
		for try := 0; try < orderTries && s.ctx.Err() == nil; try++ {
			if status, _ := s.call(s.control(rng), http.MethodPost, standin.PutPath, body); status == http.StatusOK {
				s.checks.documentAccepted(version)
				break
			}
			s.pause(operatorPause)
		}
	}
}

// control returns any control host.
func (s *soak) control(rng *rand.Rand) int { return rng.IntN(controlHosts + spareControls) }

// readBack reads the document from any control host.
func (s *soak) readBack() {
	rng := rand.New(rand.NewPCG(s.Seed, rand.Uint64()))
	for s.pause(readerPause) {
		host := s.control(rng)
		floor := s.checks.floor()
		status, body := s.call(host, http.MethodGet, standin.GetPath, nil)
		if status != http.StatusOK {
			continue // it cannot be sure, or is away
		}
		d, err := standin.DecodeDocument(body)
		if err != nil {
			s.checks.violate("%s: %v", s.controls[host].name, err)
			continue
		}
		s.checks.documentRead(s.controls[host].name, floor, d.Version, d.Note)
	}
}

// call calls the API of a control host. The status is 0 without an answer.
func (s *soak) call(host int, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(s.ctx, method, "http://"+s.layout.addr(host, portAPI)+path, bytes.NewReader(body))
	if err != nil {
		s.checks.violate("build a call: %v", err)
		return 0, nil
	}
	resp, err := s.http.Do(req)
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

// votesLine is in the metrics of a voter of the log.
const votesLine = "control.votes 1\n"

// votes reports whether a control host says that it is a voter.
func (s *soak) votes(host int) bool {
	resp, err := s.http.Get("http://" + s.layout.addr(host, portMetrics) + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return err == nil && bytes.Contains(data, []byte(votesLine))
}
