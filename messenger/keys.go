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

// protocolName is the ALPN protocol name in the TLS handshake.
const protocolName = "carawaytiller/1"

// KeyFiles holds the paths of the PEM files of a daemon's identity.
type KeyFiles struct {
	// Authority contains the certificates of the authorities that peers' certificates are verified against.
	Authority string
	// Certificate and Key contain the daemon's own certificate and private key.
	Certificate string
	Key         string
}

// Keys is a daemon's identity and the authorities that it trusts. Files that have changed are reloaded at
// the next handshake. While the files do not match each other, the previous keys stay in use, because
// certificate and key are usually not replaced atomically.
type Keys struct {
	files KeyFiles

	mu          sync.Mutex
	versions    [3]fileVersion
	certificate tls.Certificate
	roots       *x509.CertPool
	loadErr     error
}

// fileVersion identifies the version of a file, to detect a change.
type fileVersion struct {
	changed time.Time
	size    int64
}

// LoadKeys loads the keys from files. It returns an error when a file is missing or invalid, or when the
// certificate does not match the key or the authority.
func LoadKeys(files KeyFiles) (*Keys, error) {
	k := &Keys{files: files}
	if err := k.reloadIfChanged(); err != nil {
		return nil, err
	}
	return k, nil
}

// NewKeys returns keys that are never reloaded, from PEM data. It returns an error when the data is invalid
// or the certificate does not match the key or the authority.
func NewKeys(authority, certificate, key []byte) (*Keys, error) {
	cert, roots, err := parseKeys(authority, certificate, key)
	if err != nil {
		return nil, err
	}
	return &Keys{certificate: cert, roots: roots}, nil
}

// Expires returns the time at which the daemon's certificate expires.
func (k *Keys) Expires() time.Time {
	_ = k.reloadIfChanged()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.certificate.Leaf.NotAfter
}

// LoadError reloads the files if they have changed and returns the error of the last load, or nil.
func (k *Keys) LoadError() error {
	return k.reloadIfChanged()
}

// reloadIfChanged loads the files if they have changed since the last load. It returns the error of the
// last load, or nil.
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
		return tls.Certificate{}, nil, errors.New("no valid authority certificate in the PEM data")
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

// handshakeConfig returns the TLS configuration of one handshake, for client or server. Session tickets are
// disabled, because a resumed session would not verify the peer's certificate against the current authorities.
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

// listenerConfig returns a server configuration that uses the current keys at each handshake.
func (k *Keys) listenerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocolName},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return k.handshakeConfig(), nil
		},
	}
}
