package lrdaemon

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lavenderrouter/lavenderrouter/internal/lrplatform"
	"github.com/lavenderrouter/lavenderrouter/internal/lrtls"
)

const idlePlatformConnections = 16

// transports are the TLS configurations of the instance. Without settings they are plain TCP.
type transports struct {
	// callers is nil when callers are served without TLS.
	callers    *tls.Config
	peerServer credentials.TransportCredentials
	peerClient credentials.TransportCredentials
	platform   []lrplatform.ClientOption
}

// wireTransports reads the certificates that the settings name. A mistake in them is reported by Run.
func (d *Daemon) wireTransports() {
	s := d.settings.TLS
	d.transports = transports{peerServer: insecure.NewCredentials(), peerClient: insecure.NewCredentials()}
	if s.CertFile != "" {
		config, err := lrtls.NewServer(s.CertFile, s.KeyFile, s.CAFile)
		d.transports.callers = config
		d.invalid = errors.Join(d.invalid, err)
	}
	if s.PeerCertFile != "" {
		d.wirePeerTransports()
	}
	if s.PlatformCA != "" {
		config, err := lrtls.NewClient(s.PlatformCA)
		d.invalid = errors.Join(d.invalid, err)
		transport := &http.Transport{MaxIdleConnsPerHost: idlePlatformConnections, TLSClientConfig: config}
		d.transports.platform = append(d.transports.platform, lrplatform.WithHTTPClient(&http.Client{Transport: transport}))
	}
}

func (d *Daemon) wirePeerTransports() {
	s := d.settings.TLS
	server, err := lrtls.NewServer(s.PeerCertFile, s.PeerKeyFile, s.PeerCAFile)
	if s.PeerCAFile == "" {
		err = errors.Join(err, errors.New("[tls] peerCAFile is missing; without it an instance cannot tell another one from a stranger"))
	}
	client, clientErr := lrtls.NewPeerClient(s.PeerCertFile, s.PeerKeyFile, s.PeerCAFile)
	d.invalid = errors.Join(d.invalid, err, clientErr)
	if d.invalid != nil {
		return
	}
	d.transports.peerServer, d.transports.peerClient = credentials.NewTLS(server), credentials.NewTLS(client)
}

// protect puts the listener for callers behind TLS where the settings say so.
func (t transports) protect(listener net.Listener) net.Listener {
	if t.callers == nil {
		return listener
	}
	return tls.NewListener(listener, t.callers)
}
