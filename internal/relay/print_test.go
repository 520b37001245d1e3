package relay

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// The hash of a body of the largest size takes little of the time that passing it on does.
func BenchmarkFingerprint(b *testing.B) {
	r := Request{Method: "POST", Path: "/book/", Body: make([]byte, 4<<20)}
	for b.Loop() {
		r.fingerprint()
	}
}

// A request that is sent again has the same fingerprint, whatever its id and deadline; any other has another one.
func TestFingerprint(t *testing.T) {
	is := is.New(t)
	r := Request{ID: "1", Method: "POST", Host: "desk.example", Path: "/book/4?n=1", Customer: "importer", Body: []byte("20 bags")}
	again := r
	again.ID, again.Deadline, again.LastEventID = "2", 5, 3
	is.Equal(r.fingerprint(), again.fingerprint())
	is.Equal(len(r.fingerprint()), fingerprintBytes)
	for _, change := range []func(*Request){
		func(o *Request) { o.Method = "PUT" },
		func(o *Request) { o.Host = "other.example" },
		func(o *Request) { o.Path = "/book/4?n=2" },
		func(o *Request) { o.Customer = "" },
		func(o *Request) { o.Body = nil },
		func(o *Request) { o.PartList = "common:100,own:100" },
		func(o *Request) { o.Path, o.Customer = "/book/4?n=1i", "mporter" },
	} {
		other := r
		change(&other)
		is.True(!bytes.Equal(other.fingerprint(), r.fingerprint()))
	}
}
