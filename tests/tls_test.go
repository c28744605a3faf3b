package tests_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// authority is a certificate authority that signs the certificates of one site's nodes.
type authority struct {
	t      *testing.T
	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	authority := &authority{t: t, folder: t.TempDir()}
	authority.key, authority.cert = authority.sign(name, nil, nil, time.Now().Add(time.Hour))
	return authority
}

// sign writes a certificate and its key to files; without a parent the certificate is a self-signed CA certificate.
func (authority *authority) sign(name string, ips []net.IP, parent *x509.Certificate, until time.Time) (*ecdsa.PrivateKey, *x509.Certificate) {
	t := authority.t
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<60))
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name}, IPAddresses: ips,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: until, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	signer, signerKey := parent, authority.key
	if parent == nil {
		template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
		template.ExtKeyUsage = nil
		signer, signerKey = template, key
	}
	encoded, err := x509.CreateCertificate(rand.Reader, template, signer, &key.PublicKey, signerKey)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(encoded)
	assert.NilError(t, err)
	keyBytes, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(authority.path(name, "pem"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: encoded}), 0o600))
	assert.NilError(t, os.WriteFile(authority.path(name, "key"), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyBytes}), 0o600))
	return key, cert
}

func (authority *authority) path(name, suffix string) string {
	return filepath.Join(authority.folder, name+"."+suffix)
}

func (authority *authority) flags(name string) []string {
	return []string{"--tls-cert", authority.path(name, "pem"), "--tls-key", authority.path(name, "key"), "--tls-ca", authority.path("ca", "pem")}
}

func (authority *authority) client(name string, roots *authority) *http.Client {
	pool := x509.NewCertPool()
	pool.AddCert(roots.cert)
	settings := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
	if name != "" {
		cert, err := tls.LoadX509KeyPair(authority.path(name, "pem"), authority.path(name, "key"))
		assert.NilError(authority.t, err)
		settings.Certificates = []tls.Certificate{cert}
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: settings}, Timeout: 5 * time.Second}
}

// TestMutualTLS checks that nodes and operators reach each other with certificates of the configured authority, and that the operator
// and peer ports refuse plain text and missing, expired or foreign certificates.
func TestMutualTLS(t *testing.T) {
	trusted, untrusted := newAuthority(t, "ca"), newAuthority(t, "ca")
	site := newSite(t, 2, fastFlags...)
	site.init()
	for _, process := range site.nodes {
		trusted.sign(process.name, []net.IP{net.ParseIP(process.ip)}, trusted.cert, time.Now().Add(time.Hour))
		process.flags = trusted.flags(process.name)
	}
	trusted.sign("late", nil, trusted.cert, time.Now().Add(-time.Minute))
	untrusted.sign("other", nil, untrusted.cert, time.Now().Add(time.Hour))
	site.startAll()

	operators := site.nodes[0].address(operatorPort)
	text, code := site.run(append([]string{"show", "--operator", operators}, trusted.flags("b")...)...)
	assert.Equal(t, code, 0, text)
	response, err := trusted.client("b", trusted).Get("https://" + operators + "/operate/show")
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	for _, row := range []struct {
		name   string
		client *http.Client
		url    string
	}{
		{"plain text", http.DefaultClient, "http://"},
		{"no certificate", trusted.client("", trusted), "https://"},
		{"expired certificate", trusted.client("late", trusted), "https://"},
		{"certificate of another authority", untrusted.client("other", trusted), "https://"},
	} {
		for _, address := range []string{operators, site.nodes[0].address(peerPort)} {
			response, err := row.client.Get(row.url + address + "/operate/show")
			if err == nil {
				_ = response.Body.Close()
				assert.Equal(t, response.StatusCode, http.StatusBadRequest, "%s got an answer", row.name)
			}
		}
	}
	site.awaitVotersOverTLS(trusted)
}

// awaitVotersOverTLS waits until the second node has become a voter, which needs mutual TLS between the nodes.
func (site *site) awaitVotersOverTLS(trusted *authority) {
	site.t.Helper()
	site.await("both nodes are voters", func() bool {
		text, code := site.run(append([]string{"show", "--json", "--operator", site.nodes[1].address(operatorPort)}, trusted.flags("b")...)...)
		return code == 0 && strings.Count(text, `"voter":true`) == 2
	})
}
