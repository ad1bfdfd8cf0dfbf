package network

import (
	"fmt"
	"time"
)

// packet is one datagram in transit.
type packet struct {
	data      []byte
	deliverAt time.Time
	from      *Port
	to        *Port
}

// link delivers packets from one port to another in order.
type link struct {
	packets chan packet
}

// send drops the packet if the link is full.
func (l *link) send(p packet) {
	select {
	case l.packets <- p:
	default:
	}
}

// deliver delivers queued packets when they are due, until done is closed.
func (l *link) deliver(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case p := <-l.packets:
			if delay := time.Until(p.deliverAt); delay > 0 {
				time.Sleep(delay)
			}
			_, _ = p.from.public.WriteToUDPAddrPort(p.data, p.to.private) // datagrams may be lost
		}
	}
}

// PortError reports a port that could not be opened.
type PortError struct {
	Domain string
	Err    error
}

// Error implements error.
func (e *PortError) Error() string {
	return fmt.Sprintf("open a port for failure domain %s: %v", e.Domain, e.Err)
}

// Unwrap returns the underlying failure.
func (e *PortError) Unwrap() error { return e.Err }
