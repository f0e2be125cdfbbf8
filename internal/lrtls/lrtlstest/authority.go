// Package lrtlstest issues certificates for tests.
package lrtlstest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// An Authority is a certificate authority for a test.
type Authority struct {
	// File is the path of the authority's certificate in PEM form.
	File        string
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// NewAuthority returns an Authority with a new key and self-signed certificate.
func NewAuthority(t *testing.T) *Authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	requireNoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	data, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	requireNoError(t, err)
	certificate, err := x509.ParseCertificate(data)
	requireNoError(t, err)
	a := &Authority{t: t, certificate: certificate, key: key, File: filepath.Join(t.TempDir(), "ca.pem")}
	writePEM(t, a.File, "CERTIFICATE", data)
	return a
}

// Issue writes a certificate with the serial number to the directory and returns the paths of the certificate and the
// key. The modification time of the files is derived from the serial number, so that a change is always detected.
func (a *Authority) Issue(directory string, serial int64) (string, string) {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	requireNoError(a.t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	data, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	requireNoError(a.t, err)
	keyData, err := x509.MarshalECPrivateKey(key)
	requireNoError(a.t, err)
	certFile, keyFile := filepath.Join(directory, "cert.pem"), filepath.Join(directory, "key.pem")
	writePEM(a.t, certFile, "CERTIFICATE", data)
	writePEM(a.t, keyFile, "EC PRIVATE KEY", keyData)
	stamp := time.Unix(serial, 0)
	requireNoError(a.t, os.Chtimes(certFile, stamp, stamp))
	requireNoError(a.t, os.Chtimes(keyFile, stamp, stamp))
	return certFile, keyFile
}

func writePEM(t *testing.T, file, kind string, data []byte) {
	t.Helper()
	requireNoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
}
