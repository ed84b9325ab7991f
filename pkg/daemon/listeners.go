package daemon

import (
	"net"

	"nutmegstand.example/nutmegstand/pkg/settings"
)

// listeners holds the listening sockets of a daemon.
type listeners struct {
	calls, local, announce, daemons, admin, metrics net.Listener
}

func openListeners(addresses settings.Listen) (*listeners, error) {
	l := &listeners{}
	for _, entry := range []struct {
		address  string
		listener *net.Listener
	}{
		{addresses.Calls, &l.calls},
		{addresses.Local, &l.local},
		{addresses.Announce, &l.announce},
		{addresses.Daemons, &l.daemons},
		{addresses.Admin, &l.admin},
		{addresses.Metrics, &l.metrics},
	} {
		listener, err := net.Listen("tcp", entry.address)
		if err != nil {
			l.close()
			return nil, err
		}
		*entry.listener = listener
	}
	return l, nil
}

func (l *listeners) close() {
	if l == nil {
		return
	}
	for _, listener := range []net.Listener{l.calls, l.local, l.announce, l.daemons, l.admin, l.metrics} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
