package peer

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

// A large answer travels compressed and arrives as it was; a small one travels as it is.
func TestPack(t *testing.T) {
	is := is.New(t)
	large := answer{Body: bytes.Repeat([]byte("{\"service\":\"desk\"}"), 1000)}
	packed, err := large.pack()
	is.NoErr(err)
	is.True(packed.Packed && len(packed.Body) < len(large.Body)/10)
	back, err := packed.unpack()
	is.NoErr(err)
	is.True(bytes.Equal(back.Body, large.Body))
	small, err := answer{Body: []byte("1")}.pack()
	is.NoErr(err)
	is.True(!small.Packed)
	_, err = answer{Body: []byte("not compressed"), Packed: true}.unpack()
	is.True(err != nil)
}
