package daemon

import (
	"crypto/tls"

	"greengagequay/internal/access"
	"greengagequay/internal/rpc"
)

// setUpAccess sets up the RPC server and client, TLS for RPC and the API, and the
// API tokens, as the configuration says.
func (d *Daemon) setUpAccess() error {
	var clientTLS func(string) *tls.Config
	if d.Config.TLS.Empty() {
		d.warnWithoutTLS()
	} else {
		certs, err := access.LoadCertificates(d.Config.TLS, d.clock)
		if err != nil {
			return err
		}
		clientTLS = certs.Client
		d.bound.rpc = tls.NewListener(d.bound.rpc, certs.Server(true))
		d.bound.api = tls.NewListener(d.bound.api, certs.Server(false))
	}
	d.server = rpc.NewServer(d.bound.rpc, &d.controlBytes)
	d.client = rpc.NewClient(&d.controlBytes, clientTLS)
	if d.Config.Tokens == "" {
		return nil
	}
	tokens, err := access.LoadTokens(d.Config.Tokens)
	d.tokens = tokens
	return err
}

func (d *Daemon) warnWithoutTLS() {
	for _, addr := range d.Config.Exposed() {
		d.log.Warnf("address %s is served without TLS", addr)
	}
}
