package entry

import (
	"net"
	"net/http"
)

// newTransport returns the HTTP transport to backend servers. It repeats no
// request by itself.
func newTransport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
