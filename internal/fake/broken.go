package fake

import (
	"fmt"
	"net"
	"net/http"
)

// BrokenStatuses are status lines with which an answer is no HTTP, by what is wrong with them.
var BrokenStatuses = map[string]string{
	"status zero":       "HTTP/1.1 000 None\r\n",
	"status below 100":  "HTTP/1.1 099 None\r\n",
	"signed status":     "HTTP/1.1 +20 None\r\n",
	"other protocol":    "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n",
	"status above 599":  "HTTP/1.1 600 None\r\n",
	"status of 9s":      "HTTP/1.1 999 None\r\n",
	"status of letters": "HTTP/1.1 OK! None\r\n",
}

// Broken returns a fake target whose answers begin with the given lines. More lines of the head and the body follow, and the connection
// ends.
func Broken(first string, rest func(r *http.Request) (lines, body string)) *Raw {
	return &Raw{Answer: func(conn net.Conn, r *http.Request) bool {
		lines, body := rest(r)
		_, _ = fmt.Fprintf(conn, "%s%s\r\n%s", first, lines, body)
		return false
	}}
}

// BrokenText returns the address of a fake target whose answers begin with the given lines and have the same body each.
func BrokenText(first, body string) (*Raw, error) {
	f := Broken(first, func(*http.Request) (string, string) { return "", body })
	return f, f.Listen()
}
