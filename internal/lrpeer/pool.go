package lrpeer

import (
	"fmt"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
)

// A Pool keeps one connection to each peer address.
type Pool struct {
	credentials credentials.TransportCredentials
	mutex       sync.Mutex
	connections map[string]*grpc.ClientConn
}

// NewPool returns a Pool whose connections use the credentials.
func NewPool(transport credentials.TransportCredentials) *Pool {
	return &Pool{credentials: transport, connections: map[string]*grpc.ClientConn{}}
}

// Connection returns the connection to the peer address. It connects when the first call is made.
func (p *Pool) Connection(address string) (*grpc.ClientConn, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	connection, ok := p.connections[address]
	if ok {
		return connection, nil
	}
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(p.credentials))
	if err != nil {
		return nil, fmt.Errorf("connect to peer %s: %w", address, err)
	}
	p.connections[address] = connection
	return connection, nil
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
