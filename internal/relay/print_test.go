package relay

import (
	"testing"

	"github.com/matryer/is"
)

// A request that is sent again has the same fingerprint, whatever its id and deadline; any other has another one.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	r := Request{ID: "1", Method: "POST", Host: "desk.example", Path: "/book/4?n=1", Customer: "importer", Body: []byte("20 bags")}
	again := r
	again.ID, again.Deadline, again.LastEventID = "2", 5, 3
	is.Equal(r.fingerprint(), again.fingerprint())
	for _, change := range []func(*Request){
		func(o *Request) { o.Method = "PUT" },
		func(o *Request) { o.Host = "other.example" },
		func(o *Request) { o.Path = "/book/4?n=2" },
		func(o *Request) { o.Customer = "" },
		func(o *Request) { o.Body = nil },
		func(o *Request) { o.Path, o.Customer = "/book/4?n=1i", "mporter" },
	} {
		other := r
		change(&other)
		is.True(other.fingerprint() != r.fingerprint())
	}
}
