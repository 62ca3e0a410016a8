// Package network opens connections and listeners: TCP, with or without TLS.
package network

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rookpass/rookpass/internal/base/tlsfiles"
)

// Network is how a daemon reaches callers, peers and backend servers. Tests put connections in memory in its
// place.
type Network interface {
	// ListenCallers listens for callers and operators over gRPC.
	ListenCallers(address string) (net.Listener, error)
	// ListenHTTP listens for plain lookups, health and metrics.
	ListenHTTP(address string) (net.Listener, error)
	// ListenPeers listens for other daemons.
	ListenPeers(address string) (net.Listener, error)
	// DialPeer connects to another daemon.
	DialPeer(ctx context.Context, address string) (net.Conn, error)
	// DialServer connects to a backend server or the object API.
	DialServer(address string) (net.Conn, error)
}

// serverDialTimeout bounds a connection to a backend server or the object API.
const serverDialTimeout = 2 * time.Second

// TCP is the Network of a real daemon.
type TCP struct {
	// Files are the keys; nil means plain text.
	Files *tlsfiles.Files
}

// ListenCallers implements Network.
func (n TCP) ListenCallers(address string) (net.Listener, error) { return n.listen(address, "h2") }

// ListenHTTP implements Network.
func (n TCP) ListenHTTP(address string) (net.Listener, error) { return n.listen(address, "http/1.1") }

// listen offers one protocol; a client that asks for another is refused in the handshake.
func (n TCP) listen(address, protocol string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || n.Files == nil {
		return listener, err
	}
	config := n.Files.Server()
	config.NextProtos = []string{protocol}
	return tls.NewListener(listener, config), nil
}

// ListenPeers implements Network.
func (n TCP) ListenPeers(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil || n.Files == nil {
		return listener, err
	}
	return tls.NewListener(listener, n.Files.MutualServer()), nil
}

// DialPeer implements Network. Keys are read for each connection, so a new one uses the newest.
func (n TCP) DialPeer(ctx context.Context, address string) (net.Conn, error) {
	if n.Files == nil {
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	dialer := &tls.Dialer{Config: n.Files.MutualClient()}
	return dialer.DialContext(ctx, "tcp", address)
}

// DialServer implements Network.
func (n TCP) DialServer(address string) (net.Conn, error) {
	return net.DialTimeout("tcp", address, serverDialTimeout)
}
