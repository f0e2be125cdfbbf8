package lrtls

import (
	"crypto/tls"
	"os"
	"testing"

	"github.com/lavenderrouter/lavenderrouter/internal/lrtls/lrtlstest"
)

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// handshake returns the serial number of the server's certificate, or the error of the side that rejected the connection.
func handshake(t *testing.T, server, client *tls.Config) (int64, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	requireNoError(t, err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan error, 1)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			accepted <- err
			return
		}
		accepted <- connection.(*tls.Conn).Handshake()
		_ = connection.Close()
	}()
	connection, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer func() { _ = connection.Close() }()
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-accepted
}

func TestCertificatesAreReloaded(t *testing.T) {
	a, directory := lrtlstest.NewAuthority(t), t.TempDir()
	certFile, keyFile := a.Issue(directory, 10)
	server, err := NewServer(certFile, keyFile, a.File)
	requireNoError(t, err)
	client, err := NewPeerClient(certFile, keyFile, a.File)
	requireNoError(t, err)
	for _, serial := range []int64{10, 11} {
		a.Issue(directory, serial)
		got, err := handshake(t, server, client)
		requireNoError(t, err)
		if got != serial {
			t.Fatalf("serial number %d, want %d", got, serial)
		}
	}
	requireNoError(t, os.WriteFile(certFile, []byte("broken"), 0o600))
	got, err := handshake(t, server, client)
	if err != nil || got != 11 {
		t.Fatalf("with a broken file: serial number %d, %v", got, err)
	}
}

func TestUntrustedCertificatesAreRejected(t *testing.T) {
	a, other := lrtlstest.NewAuthority(t), lrtlstest.NewAuthority(t)
	certFile, keyFile := a.Issue(t.TempDir(), 10)
	untrustedCert, untrustedKey := other.Issue(t.TempDir(), 20)
	server, err := NewServer(certFile, keyFile, a.File)
	requireNoError(t, err)
	untrustedServer, err := NewServer(untrustedCert, untrustedKey, "")
	requireNoError(t, err)
	peer, err := NewPeerClient(certFile, keyFile, a.File)
	requireNoError(t, err)
	untrustedPeer, err := NewPeerClient(untrustedCert, untrustedKey, a.File)
	requireNoError(t, err)
	caller, err := NewClient(a.File)
	requireNoError(t, err)
	plainServer, err := NewServer(certFile, keyFile, "")
	requireNoError(t, err)
	cases := []struct {
		name           string
		server, client *tls.Config
		rejected       bool
	}{
		{"peer of the authority", server, peer, false},
		{"peer of another authority", server, untrustedPeer, true},
		{"no certificate", server, caller, true},
		{"server of another authority", untrustedServer, caller, true},
		{"server of the authority", plainServer, caller, false},
		{"server of another name", plainServer, withName(caller, "other.example"), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := handshake(t, c.server, c.client)
			if (err != nil) != c.rejected {
				t.Fatalf("error: %v, want rejected: %t", err, c.rejected)
			}
		})
	}
}

func withName(config *tls.Config, name string) *tls.Config {
	named := config.Clone()
	named.ServerName = name
	return named
}
