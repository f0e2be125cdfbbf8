package lrpeer

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
)

// bufferBytes is the size of each read and write buffer of a connection. It is small since messages between instances are.
const bufferBytes = 4 << 10

const (
	// maxHeaderListBytes bounds the header of a call, for which gRPC otherwise allows 16 MB. Calls between instances have a few hundred bytes.
	maxHeaderListBytes = 16 << 10
	// maxCallsPerConnection bounds the calls that one connection may have open at a time.
	maxCallsPerConnection = 1024
	// handshakeTimeout bounds how long a connection may take until it is ready for calls.
	handshakeTimeout = 5 * time.Second
)

// ServerOptions returns the options of the gRPC server for other instances. The callback receives the method and value of
// each panic in a handler.
func ServerOptions(transport credentials.TransportCredentials, panicked func(method string, value any)) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.Creds(transport), grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.UnaryInterceptor(recovery(panicked)), grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.MaxConcurrentStreams(maxCallsPerConnection), grpc.ConnectionTimeout(handshakeTimeout),
	}
}

// A Pool maintains one connection for each peer address.
type Pool struct {
	credentials credentials.TransportCredentials
	mutex       sync.Mutex
	connections map[string]*grpc.ClientConn
}

// NewPool returns a Pool whose connections use the credentials.
func NewPool(transport credentials.TransportCredentials) *Pool {
	return &Pool{credentials: transport, connections: map[string]*grpc.ClientConn{}}
}

// Connection returns the connection to the peer address. The connection is established by the first call on it.
func (p *Pool) Connection(address string) (*grpc.ClientConn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	connection, ok := p.connections[address]
	if ok {
		return connection, nil
	}
	silence := &silenceDetector{onSilence: func(silent *grpc.ClientConn) { p.drop(address, silent) }}
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(p.credentials),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes), grpc.WithUnaryInterceptor(silence.intercept))
	if err != nil {
		return nil, fmt.Errorf("connect to peer %s: %w", address, err)
	}
	p.connections[address] = connection
	return connection, nil
}

// drop forgets the connection, so that the next call to the address makes a new one.
func (p *Pool) drop(address string, silent *grpc.ClientConn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.connections[address] == silent {
		delete(p.connections, address)
	}
}

// Retain closes the connections to all addresses other than the given ones.
func (p *Pool) Retain(addresses map[string]bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, connection := range p.connections {
		if !addresses[address] {
			_ = connection.Close()
			delete(p.connections, address)
		}
	}
}

// Len returns the number of connections.
func (p *Pool) Len() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.connections)
}

// Close closes every connection.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, connection := range p.connections {
		_ = connection.Close()
		delete(p.connections, address)
	}
}
