package commands

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

// reloadInterval is the minimum time between two reads of the certificate files.
const reloadInterval = 10 * time.Second

// tlsFiles names the files for mutual TLS.
type tlsFiles struct {
	Cert string `help:"Certificate of this process, PEM."`
	Key  string `help:"Private key of the certificate, PEM."`
	CA   string `help:"CA certificates for verifying the peer, PEM." name:"ca"`
}

func (files tlsFiles) isSet() bool { return files.Cert != "" || files.Key != "" || files.CA != "" }

// tlsSource provides TLS configurations and rereads the certificate files at most once per reloadInterval, to pick up renewed ones.
type tlsSource struct {
	files     tlsFiles
	mutex     sync.Mutex
	cert      *tls.Certificate
	roots     *x509.CertPool
	checkedAt time.Time
}

func newTLSSource(files tlsFiles) (*tlsSource, error) {
	if files.Cert == "" || files.Key == "" || files.CA == "" {
		return nil, errors.New("mutual TLS needs a certificate, a private key and CA certificates")
	}
	source := &tlsSource{files: files}
	return source, source.load()
}

func (source *tlsSource) load() error {
	cert, err := tls.LoadX509KeyPair(source.files.Cert, source.files.Key)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(source.files.CA)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return fmt.Errorf("%s contains no certificate", source.files.CA)
	}
	source.cert, source.roots = &cert, roots
	return nil
}

// current returns the latest certificate and CA pool. If the files can't be read, the previous certificate and pool stay in use.
func (source *tlsSource) current(now time.Time) (*tls.Certificate, *x509.CertPool) {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	if now.Sub(source.checkedAt) >= reloadInterval {
		source.checkedAt = now
		_ = source.load()
	}
	return source.cert, source.roots
}

func (source *tlsSource) clientConfig() *tls.Config {
	cert, roots := source.current(time.Now())
	return &tls.Config{Certificates: []tls.Certificate{*cert}, RootCAs: roots, MinVersion: tls.VersionTLS13}
}

func (source *tlsSource) serverConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, roots := source.current(time.Now())
		return &tls.Config{Certificates: []tls.Certificate{*cert}, ClientCAs: roots,
			ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13}, nil
	}}
}

// requireLoopback returns an error if the address isn't on loopback, since other VMs could reach it without TLS.
func requireLoopback(name, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("--%s: %w", name, err)
	}
	ip := net.ParseIP(host)
	if ip == nil {
		return fmt.Errorf("--%s: %q is not an IP address", name, host)
	}
	if !ip.IsLoopback() {
		return fmt.Errorf("--%s: %s is not a loopback address; set the --tls flags or --allow-plain-text", name, address)
	}
	return nil
}
