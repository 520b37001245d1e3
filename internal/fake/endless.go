package fake

import (
	"net"
	"net/http"
	"time"
)

// Endless returns a fake target that answers with a first part, and then repeats a text with a pause until its caller closes
// the connection.
func Endless(first, text string, pause time.Duration) *Raw {
	return &Raw{Answer: func(conn net.Conn, _ *http.Request) bool {
		_, err := conn.Write([]byte(first))
		for err == nil {
			time.Sleep(pause)
			_, err = conn.Write([]byte(text))
		}
		return false
	}}
}
