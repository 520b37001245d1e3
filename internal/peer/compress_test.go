package peer

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// A large body is compressed and restored unchanged; a small one is sent as it is.
func TestCompressResponse(t *testing.T) {
	is := is.New(t)
	large := response{Body: bytes.Repeat([]byte("{\"service\":\"desk\"}"), 1000)}
	compressed, err := large.compress()
	is.NoErr(err)
	is.True(compressed.Compressed && len(compressed.Body) < len(large.Body)/10)
	restored, err := compressed.decompress()
	is.NoErr(err)
	is.True(bytes.Equal(restored.Body, large.Body))
	small, err := response{Body: []byte("1")}.compress()
	is.NoErr(err)
	is.True(!small.Compressed)
	_, err = response{Body: []byte("not compressed"), Compressed: true}.decompress()
	is.True(err != nil)
}

// Guards against: a response of another build, or one that was damaged, is decompressed to more than a message may have.
func FuzzDecompress(f *testing.F) {
	whole, err := response{Body: bytes.Repeat([]byte("x"), 4<<10)}.compress()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(whole.Body)
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := response{Body: body, Compressed: true}.decompress()
		if err == nil && (r.Compressed || len(r.Body) > maxMessageBytes) {
			t.Fatalf("%d bytes, compressed %v", len(r.Body), r.Compressed)
		}
	})
}
