// Package issuer creates a certificate authority for trials and issues the daemons' certificates, in PEM format.
package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

// ServerName is the DNS name in every daemon's certificate. Daemons move between addresses,
// so peers are verified by the authority and this name.
const ServerName = "daemon.carawaytiller"

// clockSkew is how far a daemon's clock may lag behind the issuer's without the daemon rejecting a new certificate.
const clockSkew = 5 * time.Minute

// Pair is a certificate and its private key, in PEM format.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// Authority signs the certificates of daemons.
type Authority struct {
	pair Pair
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority creates an authority with a new ECDSA P-256 key. Its certificate is valid from clockSkew before now
// and expires at now plus valid.
func NewAuthority(name string, now time.Time, valid time.Duration) (*Authority, error) {
	template, err := newTemplate(name, now, valid)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	pair, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return LoadAuthority(pair)
}

// LoadAuthority returns the authority with the given certificate and key, as returned by Authority.Pair. It fails if
// the key is not an ECDSA key or the certificate is not a CA certificate.
func LoadAuthority(pair Pair) (*Authority, error) {
	loaded, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load authority")
	}
	key, ok := loaded.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.Errorf("load authority: private key is %T, want *ecdsa.PrivateKey", loaded.PrivateKey)
	}
	if !loaded.Leaf.IsCA {
		return nil, errors.Errorf("load authority: certificate of %q is not a CA certificate", loaded.Leaf.Subject.CommonName)
	}
	return &Authority{pair: pair, cert: loaded.Leaf, key: key}, nil
}

// Pair returns the authority's own certificate and key.
func (a *Authority) Pair() Pair { return a.pair }

// Issue creates a certificate with a new ECDSA P-256 key for the daemon called name. The certificate is valid
// from clockSkew before now, expires at now plus valid, and permits server and client authentication.
func (a *Authority) Issue(name string, now time.Time, valid time.Duration) (Pair, error) {
	template, err := newTemplate(name, now, valid)
	if err != nil {
		return Pair{}, err
	}
	template.DNSNames = []string{ServerName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "generate key")
	}
	return sign(template, a.cert, key, a.key)
}

// Write writes the pair to two files, the key with mode 0600 and the certificate with mode 0644. Each file is
// replaced atomically.
func (p Pair) Write(certificateFile, keyFile string) error {
	if err := replaceFile(keyFile, p.Key, 0o600); err != nil {
		return err
	}
	return replaceFile(certificateFile, p.Certificate, 0o644)
}

func newTemplate(name string, now time.Time, valid time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(valid),
	}, nil
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), signer)
	if err != nil {
		return Pair{}, errors.Wrap(err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "encode key")
	}
	return Pair{
		Certificate: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:         pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

// replaceFile writes a temporary file in the same directory and renames it, so that a reader never sees
// a partly written file.
func replaceFile(file string, content []byte, mode os.FileMode) error {
	temp, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	defer func() { _ = os.Remove(temp.Name()) }()
	_, err = temp.Write(content)
	err = errors.Join(err, temp.Chmod(mode), temp.Close())
	if err != nil {
		return errors.Wrap(err, "write file")
	}
	if err := os.Rename(temp.Name(), file); err != nil {
		return errors.Wrap(err, "rename file")
	}
	return nil
}
