package fake

import "net"

// ListenEach opens a port on the loopback interface and passes each connection to serve, on a goroutine of its own, until the listener is
// closed.
func ListenEach(serve func(conn net.Conn)) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l, nil
}
