package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"greengagequay/platform/standin"
)

const (
	operatorInterval = 250 * time.Millisecond
	readerInterval   = 100 * time.Millisecond
	documentTries    = 12 // calls to send one document, each to a random control host
)

// lastVersion is the version that an operator chose last. It is not reset between
// the runs of one process.
var lastVersion atomic.Uint64

// runOperator sends documents with rising versions. It sends each one until it is
// accepted or documentTries calls have failed. Two operators may choose the same
// version for different documents, and documentRead checks that only one of these
// is ever read.
func (s *soak) runOperator() {
	rng := rand.New(rand.NewPCG(s.Seed, rand.Uint64()))
	for s.sleep(operatorInterval) {
		version := lastVersion.Load() + uint64(1+rng.IntN(3))
		lastVersion.Store(version)
		d := standin.Document{Version: version, Note: fmt.Sprintf("note-%d", rng.Uint64())}
		for i, name := range services {
			d.Services = append(d.Services, standin.Service{Name: name, WarmupS: warmup.Seconds()})
			d.Routes = append(d.Routes, standin.RouteTo(name, s.layout.serviceAddr(i)))
		}
		s.checks.documentSending(version, d.Note)
		body := standin.Encode(d)
		for try := 0; try < documentTries && s.ctx.Err() == nil; try++ {
			if status, _ := s.call(s.control(rng), http.MethodPost, standin.PutPath, body); status == http.StatusOK {
				s.checks.documentAccepted(version)
				break
			}
			s.sleep(operatorInterval)
		}
	}
}

// control returns the number of a random control host, which may be the spare.
func (s *soak) control(rng *rand.Rand) int { return rng.IntN(controlHosts + spareControlHosts) }

// runReader reads the document again and again, each time from a random control
// host.
func (s *soak) runReader() {
	rng := rand.New(rand.NewPCG(s.Seed, rand.Uint64()))
	for s.sleep(readerInterval) {
		host := s.control(rng)
		minVersion := s.checks.minVersion()
		status, body := s.call(host, http.MethodGet, standin.GetPath, nil)
		if status != http.StatusOK {
			continue // the host does not run, or cannot confirm that its document is current
		}
		d, err := standin.DecodeDocument(body)
		if err != nil {
			s.checks.addViolation("%s: %v", s.controls[host].name, err)
			continue
		}
		s.checks.documentRead(s.controls[host].name, minVersion, d.Version, d.Note)
	}
}

// call calls the API of a control host. It returns the status 0 if there was no
// complete answer.
func (s *soak) call(host int, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(s.ctx, method, "http://"+s.layout.addr(host, portAPI)+path, bytes.NewReader(body))
	if err != nil {
		s.checks.addViolation("create request: %v", err)
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

const (
	// voterLine is the line of the metrics that a voter of the log has.
	voterLine = "control.votes 1\n"
	// maxContactAge is the time without contact to a quorum after which a host may have
	// been removed from the log without knowing it.
	maxContactAge = time.Second
)

// isVoter reports whether the metrics of a control host say that it is a voter, and in
// contact with a quorum. One that was removed while it was unreachable still takes itself
// for a voter.
func (s *soak) isVoter(host int) bool {
	resp, err := s.http.Get("http://" + s.layout.addr(host, portMetrics) + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return err == nil && bytes.Contains(data, []byte(voterLine)) && hasQuorum(data)
}

// hasQuorum reports whether the metrics of a control host say that it was in contact with
// a quorum within maxContactAge.
func hasQuorum(metrics []byte) bool {
	_, rest, found := bytes.Cut(metrics, []byte("control.contact_age_ms "))
	line, _, _ := bytes.Cut(rest, []byte("\n"))
	age, err := strconv.ParseInt(string(line), 10, 64)
	return found && err == nil && time.Duration(age)*time.Millisecond < maxContactAge
}
