package access

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"greengagequay/internal/clock"
	"greengagequay/internal/fault"
)

func hashOf(token string) string {
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:])
}

func TestTokenRights(t *testing.T) {
	tokens, err := ParseTokens([]byte(`[
		// the operators of the night shift
		{"name": "night", "sha256": "` + hashOf("n") + `", "rights": ["read"]},
		{"name": "lead", "sha256": "` + hashOf("l") + `", "rights": ["write"]},
		{"name": "backend", "sha256": "` + hashOf("b") + `", "rights": ["announce"]},
	]`))
	qt.Assert(t, err, qt.IsNil)
	for _, tc := range []struct {
		token, method, path string
		want                int
	}{
		{"n", "GET", "/v1/status", http.StatusOK},
		{"n", "POST", "/v1/changes", http.StatusUnauthorized},
		{"l", "GET", "/v1/status", http.StatusOK},
		{"l", "POST", "/v1/changes", http.StatusOK},
		{"l", "POST", "/v1/announcements", http.StatusUnauthorized},
		{"b", "POST", "/v1/announcements", http.StatusOK},
		{"b", "GET", "/v1/status", http.StatusUnauthorized},
		{"", "GET", "/v1/status", http.StatusUnauthorized},
		{"x", "GET", "/v1/status", http.StatusUnauthorized},
	} {
		t.Run(tc.token+tc.method+tc.path, func(t *testing.T) {
			handler := tokens.Guard(
				http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }),
				func(w http.ResponseWriter, err error) {
					qt.Check(t, fault.KindOf(err), qt.Equals, fault.Unauthorized)
					w.WriteHeader(http.StatusUnauthorized)
				})
			req := httptest.NewRequest(tc.method, tc.path, nil)
			req.Header.Set("Authorization", "Bearer "+tc.token)
			rec := httptest.NewRecorder()
			handler.ServeHTTP(rec, req)
			qt.Check(t, rec.Code, qt.Equals, tc.want)
		})
	}
}

func TestMalformedTokenFileIsInvalid(t *testing.T) {
	for _, data := range []string{
		`[{"name": "a", "sha256": "zz", "rights": ["read"]}]`,
		`[{"name": "a", "sha256": "` + hashOf("a") + `", "rights": ["own"]}]`,
		`[{"nom": "a"}]`,
		`[`,
	} {
		_, err := ParseTokens([]byte(data))
		qt.Check(t, fault.KindOf(err), qt.Equals, fault.Invalid, qt.Commentf("%s", data))
	}
}

// authority is a certificate authority for tests.
type authority struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{dir: t.TempDir()}
	a.cert, a.key = a.issue(t, "authority", 1, nil)
	return a
}

// issue writes name.pem and name.key and returns the certificate and its key. If by
// is nil, the certificate is a self-signed certificate authority.
func (a *authority) issue(t *testing.T, name string, serial int64, by *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, BasicConstraintsValid: true, IsCA: by == nil,
		KeyUsage: x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
	}
	parent, signer := template, key
	if by != nil {
		parent, signer = by.cert, by.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	qt.Assert(t, err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	qt.Assert(t, err, qt.IsNil)
	a.write(t, name+".pem", "CERTIFICATE", der)
	a.write(t, name+".key", "EC PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	qt.Assert(t, err, qt.IsNil)
	return cert, key
}

func (a *authority) write(t *testing.T, name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	qt.Assert(t, os.WriteFile(filepath.Join(a.dir, name), data, 0o600), qt.IsNil)
}

func (a *authority) files(name string) Files {
	return Files{
		Certificate: filepath.Join(a.dir, name+".pem"),
		Key:         filepath.Join(a.dir, name+".key"),
		Authority:   filepath.Join(a.dir, "authority.pem"),
	}
}

// handshake connects the client to the server and returns the serial number of the
// server's certificate.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_, _ = conn.Write([]byte("x"))
			_ = conn.Close()
		}
	}()
	conn, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestClientsWithoutCertificateOfTheAuthorityAreRejected(t *testing.T) {
	c := qt.New(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	ours.issue(t, "host", 2, ours)
	theirs.issue(t, "host", 3, theirs)
	fake := clock.NewFake(time.Now())
	host, err := LoadCertificates(ours.files("host"), fake)
	c.Assert(err, qt.IsNil)
	foreign, err := LoadCertificates(theirs.files("host"), fake)
	c.Assert(err, qt.IsNil)

	serial, err := handshake(t, host.Server(true), host.Client("127.0.0.1"))
	c.Assert(err, qt.IsNil)
	c.Assert(serial, qt.Equals, int64(2))
	_, err = handshake(t, host.Server(true), foreign.Client("127.0.0.1"))
	c.Assert(err, qt.IsNotNil)
	withoutCertificate := host.Client("127.0.0.1")
	withoutCertificate.Certificates = nil
	_, err = handshake(t, host.Server(true), withoutCertificate)
	c.Assert(err, qt.IsNotNil)
}

func TestChangedCertificateIsReloaded(t *testing.T) {
	c := qt.New(t)
	ours := newAuthority(t)
	ours.issue(t, "host", 2, ours)
	fake := clock.NewFake(time.Now())
	host, err := LoadCertificates(ours.files("host"), fake)
	c.Assert(err, qt.IsNil)

	ours.issue(t, "host", 9, ours)
	later := time.Now().Add(time.Minute)
	c.Assert(os.Chtimes(ours.files("host").Certificate, later, later), qt.IsNil)
	fake.Advance(reloadInterval)
	serial, err := handshake(t, host.Server(false), host.Client("127.0.0.1"))
	c.Assert(err, qt.IsNil)
	c.Assert(serial, qt.Equals, int64(9))
}
