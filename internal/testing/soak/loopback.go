package soak

import (
	"errors"
	"fmt"
	"net"
)

const (
	// reservationPort is the port at which a run holds its network.
	reservationPort = 9
	// lastNetwork is the last second byte of loopback addresses that a run may have.
	lastNetwork = 254
)

// reserveNetwork returns the first free network from the given one on: the second byte of loopback addresses that no
// concurrent run uses. It is free again once the listener is closed.
func reserveNetwork(first int) (int, net.Listener, error) {
	err := errors.New("none is left")
	for network := first; network <= lastNetwork; network++ {
		var held net.Listener
		held, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", network, reservationPort))
		if err == nil {
			return network, held, nil
		}
	}
	return 0, nil, fmt.Errorf("no free network from 127.%d.0.0 on: %w", first, err)
}
