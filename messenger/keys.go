package messenger

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaytiller/carawaytiller/issuer"
)

// protocolName identifies the protocol in the TLS handshake.
const protocolName = "carawaytiller/1"

// KeyFiles names the PEM files of a daemon's identity.
type KeyFiles struct {
	// Authority holds the certificates of the authorities whose daemons are peers.
	Authority string
	// Certificate and Key are the daemon's own.
	Certificate string
	Key         string
}

// Keys is a daemon's identity and the authorities that it accepts. Files that change are read again at the
// next handshake; files that do not fit together leave the keys as they were, because
// certificate and key are seldom replaced in one step.
type Keys struct {
	files KeyFiles

	mu          sync.Mutex
	versions    [3]fileVersion
	certificate tls.Certificate
	roots       *x509.CertPool
	loadErr     error
}

// fileStamp tells versions of a file apart.
type fileVersion struct {
	changed time.Time
	size    int64
}

// LoadKeys reads the files, and returns an error when they are missing or do not fit together.
func LoadKeys(files KeyFiles) (*Keys, error) {
	k := &Keys{files: files}
	if err := k.reloadIfChanged(); err != nil {
		return nil, err
	}
	return k, nil
}

// NewKeys returns keys that stay as they are, from PEM texts, and an error when they do not fit together.
func NewKeys(authority, certificate, key []byte) (*Keys, error) {
	cert, roots, err := parseKeys(authority, certificate, key)
	if err != nil {
		return nil, err
	}
	return &Keys{certificate: cert, roots: roots}, nil
}

// Expires returns the end of the validity of the daemon's certificate.
func (k *Keys) Expires() time.Time {
	_ = k.reloadIfChanged()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.certificate.Leaf.NotAfter
}

// LoadError returns why the files could not be loaded when they changed last; nil when they were.
func (k *Keys) LoadError() error {
	return k.reloadIfChanged()
}

// refresh reads the files when they have changed since the last time.
func (k *Keys) reloadIfChanged() error {
	if k.files == (KeyFiles{}) {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var versions [3]fileVersion
	for i, name := range []string{k.files.Authority, k.files.Certificate, k.files.Key} {
		info, err := os.Stat(name)
		if err != nil {
			k.loadErr = errors.Wrap(err, "load keys")
			return k.loadErr
		}
		versions[i] = fileVersion{changed: info.ModTime(), size: info.Size()}
	}
	if versions == k.versions {
		return k.loadErr
	}
	cert, roots, err := loadFiles(k.files)
	k.versions, k.loadErr = versions, err
	if err == nil {
		k.certificate, k.roots = cert, roots
	}
	return err
}

func loadFiles(files KeyFiles) (tls.Certificate, *x509.CertPool, error) {
	authority, err := os.ReadFile(files.Authority)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "load authority")
	}
	certificate, err := os.ReadFile(files.Certificate)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "load certificate")
	}
	key, err := os.ReadFile(files.Key)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "load key")
	}
	return parseKeys(authority, certificate, key)
}

func parseKeys(authority, certificate, key []byte) (tls.Certificate, *x509.CertPool, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return tls.Certificate{}, nil, errors.New("no certificate of an authority")
	}
	cert, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return tls.Certificate{}, nil, errors.Wrap(err, "parse certificate")
	}
	for _, usage := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		options := x509.VerifyOptions{Roots: roots, DNSName: issuer.ServerName, KeyUsages: []x509.ExtKeyUsage{usage}}
		if _, err := cert.Leaf.Verify(options); err != nil {
			return tls.Certificate{}, nil, errors.Wrap(err, "verify certificate")
		}
	}
	return cert, roots, nil
}

// config returns the TLS configuration of one handshake, for either end. It has no session
// tickets, because a resumed session would not check the peer's certificate against the present authorities.
func (k *Keys) handshakeConfig() *tls.Config {
	_ = k.reloadIfChanged()
	k.mu.Lock()
	defer k.mu.Unlock()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocolName},
		ServerName:             issuer.ServerName,
		Certificates:           []tls.Certificate{k.certificate},
		RootCAs:                k.roots,
		ClientCAs:              k.roots,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
	}
}

// listenConfig returns a configuration that asks for the present keys at each handshake.
func (k *Keys) listenerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.handshakeConfig(), nil
		},
	}
}
