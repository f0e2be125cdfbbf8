package lrtls

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// NewServer returns the configuration of a server with the certificate. Clients must present a certificate signed by the
// certificate authority, unless authorityFile is empty.
func NewServer(certFile, keyFile, authorityFile string) (*tls.Config, error) {
	certificate, err := loadCertificate(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return certificate.get() },
	}
	if authorityFile == "" {
		return config, nil
	}
	authority, err := loadAuthority(authorityFile)
	if err != nil {
		return nil, err
	}
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error { return verify(state, authority, "") }
	return config, nil
}

// NewPeerClient returns the client configuration for calls between instances. It presents the certificate and accepts
// any certificate signed by the authority. It does not verify the name, since the addresses of instances change.
func NewPeerClient(certFile, keyFile, authorityFile string) (*tls.Config, error) {
	certificate, err := loadCertificate(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	authority, err := loadAuthority(authorityFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS12,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return certificate.get() },
		InsecureSkipVerify:   true, // VerifyConnection verifies the chain against the reloaded authority.
		VerifyConnection:     func(state tls.ConnectionState) error { return verify(state, authority, "") },
	}, nil
}

// NewClient returns the client configuration for servers whose certificate is signed by the authority and contains the
// server's name.
func NewClient(authorityFile string) (*tls.Config, error) {
	authority, err := loadAuthority(authorityFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS12,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain against the reloaded authority, and the name.
		VerifyConnection:   func(state tls.ConnectionState) error { return verify(state, authority, state.ServerName) },
	}, nil
}

func loadCertificate(certFile, keyFile string) (*reloadable[*tls.Certificate], error) {
	return newReloadable(func() (*tls.Certificate, error) {
		pair, err := tls.LoadX509KeyPair(certFile, keyFile)
		return &pair, err
	}, certFile, keyFile)
}

func loadAuthority(file string) (*reloadable[*x509.CertPool], error) {
	return newReloadable(func() (*x509.CertPool, error) {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(data) {
			return nil, fmt.Errorf("%s contains no PEM certificate; name a file that does", file)
		}
		return pool, nil
	}, file)
}

// verify checks the peer's certificate chain against the authority, and its name unless name is empty.
func verify(state tls.ConnectionState, authority *reloadable[*x509.CertPool], name string) error {
	roots, err := authority.get()
	if err != nil {
		return err
	}
	if len(state.PeerCertificates) == 0 {
		return errors.New("the peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, DNSName: name, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
