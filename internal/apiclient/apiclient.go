// Package apiclient builds API clients that can use a token and TLS, and submits
// changes with retries.
package apiclient

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"greengagequay/internal/api"
	"greengagequay/internal/fault"
)

// Options configures a client.
type Options struct {
	Server string // IP:port of any host's API
	Token  string // token sent with each call; may be empty
	CA     string // PEM file of the certificate authority; if empty, the client uses plain HTTP
}

// New returns a client of the API on the server.
func New(o Options) (*api.Client, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	scheme := "http://"
	if o.CA != "" {
		pool, err := loadPool(o.CA)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}
		scheme = "https://"
	}
	httpClient := &http.Client{Transport: &authorizer{token: o.Token, next: transport}}
	client, err := api.NewClient(scheme+o.Server, api.WithClient(httpClient))
	if err != nil {
		return nil, fault.New(fault.Invalid, "use IP:port", "server %q: %w", o.Server, err)
	}
	return client, nil
}

func loadPool(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.Invalid, "name a readable PEM file", "read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fault.New(fault.Invalid, "name a PEM file with certificates", "authority %q holds no certificate", path)
	}
	return pool, nil
}

// authorizer adds the token to each call.
type authorizer struct {
	token string
	next  http.RoundTripper
}

// RoundTrip sends the call with the token.
func (a *authorizer) RoundTrip(r *http.Request) (*http.Response, error) {
	if a.token == "" {
		return a.next.RoundTrip(r)
	}
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+a.token)
	return a.next.RoundTrip(r)
}
