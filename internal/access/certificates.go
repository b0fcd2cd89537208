// Package access protects the API and the connections between hosts: TLS with
// certificates from files, and API tokens with rights.
package access

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"greengagequay/internal/clock"
	"greengagequay/internal/fault"
)

// reloadInterval is the time between two checks of the certificate files.
const reloadInterval = 10 * time.Second

// Files names the PEM files of a certificate, its key and the certificate authority
// that signs the certificates of all hosts.
type Files struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	Authority   string `json:"authority"`
}

// Empty reports whether no file is named.
func (f Files) Empty() bool { return f == Files{} }

// Certificates holds a certificate and its authority, and reloads them when their
// files change. It is safe for concurrent use.
type Certificates struct {
	files    Files
	clock    clock.Clock
	mu       sync.Mutex
	pair     *tls.Certificate
	pool     *x509.CertPool
	modTimes [3]time.Time // modification times of the loaded files
	checked  time.Time
}

// LoadCertificates reads the files.
func LoadCertificates(f Files, c clock.Clock) (*Certificates, error) {
	certs := &Certificates{files: f, clock: c, checked: c.Now()}
	modTimes, err := f.modTimes()
	if err != nil {
		return nil, err
	}
	if err := certs.read(modTimes); err != nil {
		return nil, err
	}
	return certs, nil
}

func (f Files) modTimes() ([3]time.Time, error) {
	var modTimes [3]time.Time
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return modTimes, fault.New(fault.Invalid, "name a readable PEM file in the field tls", "read certificate file %q: %w", name, err)
		}
		modTimes[i] = info.ModTime()
	}
	return modTimes, nil
}

func (c *Certificates) read(modTimes [3]time.Time) error {
	pair, err := tls.LoadX509KeyPair(c.files.Certificate, c.files.Key)
	if err != nil {
		return fault.New(fault.Invalid, "check that certificate and key belong together", "load certificate %q: %w", c.files.Certificate, err)
	}
	authority, err := os.ReadFile(c.files.Authority)
	if err != nil {
		return fault.New(fault.Invalid, "name a readable PEM file in the field tls", "read authority %q: %w", c.files.Authority, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return fault.New(fault.Invalid, "name a PEM file with certificates", "authority %q holds no certificate", c.files.Authority)
	}
	c.pair, c.pool, c.modTimes = &pair, pool, modTimes
	return nil
}

// current returns the certificate and the authority. It first reloads changed files,
// at most once per reloadInterval. If that fails, the loaded ones stay in use.
func (c *Certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	if now.Sub(c.checked) < reloadInterval {
		return c.pair, c.pool
	}
	c.checked = now
	modTimes, err := c.files.modTimes()
	if err == nil && modTimes != c.modTimes {
		_ = c.read(modTimes)
	}
	return c.pair, c.pool
}

// Server returns the TLS settings of a listener. If mutual is true, only clients
// with a certificate of the authority are accepted.
func (c *Certificates) Server(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := c.current()
			conf := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*pair}}
			if mutual {
				conf.ClientAuth, conf.ClientCAs = tls.RequireAndVerifyClientCert, pool
			}
			return conf, nil
		},
	}
}

// Client returns the TLS settings of a connection to the named host. The host
// must present a certificate of the authority for its IP address or name.
func (c *Certificates) Client(host string) *tls.Config {
	pair, pool := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		ServerName:   host,
		RootCAs:      pool,
		Certificates: []tls.Certificate{*pair},
	}
}
