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

// transports are the TLS configurations of the instance. Connections without TLS settings use plain TCP.
type transports struct {
	// callers is nil when callers are served without TLS.
	callers    *tls.Config
	peerServer credentials.TransportCredentials
	peerClient credentials.TransportCredentials
	platform   []lrplatform.ClientOption
}

// wireTransports reads the certificates that the settings name. Run returns any error in them.
func (d *Daemon) wireTransports() {
	s := d.settings.TLS
	d.transports = transports{peerServer: insecure.NewCredentials(), peerClient: insecure.NewCredentials()}
	if s.CertFile != "" {
		config, err := lrtls.NewServer(s.CertFile, s.KeyFile, s.CAFile)
		d.transports.callers = config
		d.settingsError = errors.Join(d.settingsError, err)
	}
	if s.PeerCertFile != "" {
		d.wirePeerTransports()
	}
	if s.PlatformCA != "" {
		config, err := lrtls.NewClient(s.PlatformCA)
		d.settingsError = errors.Join(d.settingsError, err)
		transport := &http.Transport{
			MaxIdleConnsPerHost: idlePlatformConnections, TLSClientConfig: config, MaxResponseHeaderBytes: lrplatform.MaxHeadBytes,
		}
		d.transports.platform = append(d.transports.platform, lrplatform.WithHTTPClient(&http.Client{Transport: transport}))
	}
}

func (d *Daemon) wirePeerTransports() {
	s := d.settings.TLS
	server, err := lrtls.NewServer(s.PeerCertFile, s.PeerKeyFile, s.PeerCAFile)
	if s.PeerCAFile == "" {
		err = errors.Join(err, errors.New("[tls] peerCAFile is missing; without it an instance cannot authenticate its peers"))
	}
	client, clientErr := lrtls.NewPeerClient(s.PeerCertFile, s.PeerKeyFile, s.PeerCAFile)
	d.settingsError = errors.Join(d.settingsError, err, clientErr)
	if d.settingsError != nil {
		return
	}
	d.transports.peerServer, d.transports.peerClient = credentials.NewTLS(server), credentials.NewTLS(client)
}

// withTLS wraps the listener for callers in TLS when it is configured.
func (t transports) withTLS(listener net.Listener) net.Listener {
	if t.callers == nil {
		return listener
	}
	return tls.NewListener(listener, t.callers)
}
