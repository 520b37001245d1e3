package fake

import (
	"fmt"
	"maps"
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

// BrokenFields are starts of heads with a field whose name is none, by what is wrong with it.
var BrokenFields = map[string]string{
	"blank after a length":    "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n",
	"blank after an encoding": "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"blank in a name":         "HTTP/1.1 200 OK\r\nX Broken: v\r\n",
	"blank before a name":     "HTTP/1.1 200 OK\r\n X-Broken: v\r\n",
	"blank alone":             "HTTP/1.1 200 OK\r\n : v\r\n",
	"tab after a length":      "HTTP/1.1 200 OK\r\nContent-Length\t: 3\r\n",
	"control byte":            "HTTP/1.1 200 OK\r\nX-Bro\x01ken: v\r\n",
	"zero byte":               "HTTP/1.1 200 OK\r\nContent-Length\x00: 3\r\n",
	"delete":                  "HTTP/1.1 200 OK\r\nX-Broken\x7f: v\r\n",
	"carriage return":         "HTTP/1.1 200 OK\r\nX-Bro\rken: v\r\n",
	"byte above ASCII":        "HTTP/1.1 200 OK\r\nX-Br\xc3\xb6ken: v\r\n",
	"no name":                 "HTTP/1.1 200 OK\r\n: v\r\n",
	"no colon":                "HTTP/1.1 200 OK\r\nX-Broken\r\n",
	"refusal":                 "HTTP/1.1 503 Service Unavailable\r\nX Broken: v\r\n",
	"not found":               "HTTP/1.1 404 Not Found\r\nX Broken: v\r\n",
	"error":                   "HTTP/1.1 500 Internal Server Error\r\nX Broken: v\r\n",
	"blank later in the head": "HTTP/1.1 200 OK\r\nX-Sound: v\r\nContent-Length : 3\r\n",
}

// BrokenLengths are starts of heads that hide from some readers how long the body is. A reader may take them otherwise, but not pass the
// body on with another end.
var BrokenLengths = map[string]string{
	"chunks before HTTP/1.1": "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"folded length":          "HTTP/1.1 200 OK\r\nX-Sound: v\r\n Content-Length: 3\r\n",
	"folded by a tab":        "HTTP/1.1 200 OK\r\nX-Sound: v\r\n\tContent-Length: 3\r\n",
}

// BrokenHeads returns all starts of heads that no client takes for HTTP.
func BrokenHeads() map[string]string {
	heads := maps.Clone(BrokenStatuses)
	maps.Copy(heads, BrokenFields)
	return heads
}

// BrokenTargetHeads returns all starts of heads that no client of targets takes for HTTP.
func BrokenTargetHeads() map[string]string {
	heads := BrokenHeads()
	maps.Copy(heads, BrokenLengths)
	return heads
}

// Chunked returns a body as one chunk.
func Chunked(body string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) }

// Broken returns a fake target whose answers begin with the given lines. More lines of the head and the body follow, and the connection
// ends.
func Broken(first string, rest func(r *http.Request) (lines, body string)) *Raw {
	return &Raw{Answer: func(conn net.Conn, r *http.Request) bool {
		lines, body := rest(r)
		_, _ = fmt.Fprintf(conn, "%s%s\r\n%s", first, lines, body)
		return false
	}}
}

// BrokenText starts a fake target whose answers begin with the given lines and have the same body each.
func BrokenText(first, body string) (*Raw, error) {
	f := Broken(first, func(*http.Request) (string, string) { return "", body })
	return f, f.Listen()
}
