package issuer_test

import (
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/issuer"
)

func ExampleAuthority_Issue() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	authority, _ := issuer.NewAuthority("trial", now, 24*time.Hour)
	pair, _ := authority.Issue("vm-1", now, time.Hour)
	block, _ := pem.Decode(pair.Certificate)
	cert, _ := x509.ParseCertificate(block.Bytes)
	fmt.Println(cert.Subject.CommonName, cert.DNSNames, cert.NotAfter.Format(time.TimeOnly))
	// Output: vm-1 [daemon.carawaytiller] 01:00:00
}

// TestWrite guards against a key file that other users can read, and against an authority
// that differs after its pair has been written and loaded.
func TestWrite(t *testing.T) {
	now := time.Now()
	authority, err := issuer.NewAuthority("trial", now, time.Hour)
	require.NoError(t, err)
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "ca.pem"), filepath.Join(dir, "ca-key.pem")
	require.NoError(t, authority.Pair().Write(certFile, keyFile))
	info, err := os.Stat(keyFile)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o600), info.Mode().Perm())
	var pair issuer.Pair
	pair.Certificate, err = os.ReadFile(certFile)
	require.NoError(t, err)
	pair.Key, err = os.ReadFile(keyFile)
	require.NoError(t, err)
	loaded, err := issuer.LoadAuthority(pair)
	require.NoError(t, err)

	issued, err := loaded.Issue("vm-1", now, time.Hour)
	require.NoError(t, err)
	_, err = issuer.LoadAuthority(issued)
	require.Error(t, err, "a daemon's certificate must not load as an authority")
	block, _ := pem.Decode(issued.Certificate)
	cert, err := x509.ParseCertificate(block.Bytes)
	require.NoError(t, err)
	roots := x509.NewCertPool()
	require.True(t, roots.AppendCertsFromPEM(authority.Pair().Certificate))
	_, err = cert.Verify(x509.VerifyOptions{Roots: roots, DNSName: issuer.ServerName})
	require.NoError(t, err)
}
