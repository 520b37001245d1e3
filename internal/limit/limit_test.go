package limit

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

// Guards against: the first bytes of a body that is too long are taken as the whole.
func TestReadAll(t *testing.T) {
	is := is.New(t)
	data, err := ReadAll(strings.NewReader("12345"), 5)
	is.NoErr(err)
	is.Equal(string(data), "12345")
	data, err = ReadAll(strings.NewReader("123456"), 5)
	is.True(eris.Is(err, ErrTooLong))
	is.Equal(len(data), 0)
}
