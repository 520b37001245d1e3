package limit

import (
	"io"

	"github.com/rotisserie/eris"
)

// ErrTooLong is returned for a body that is longer than its limit.
var ErrTooLong = eris.New("body is too long")

// ReadAll reads a body to its end, and fails with ErrTooLong if it has more than the given number of bytes.
func ReadAll(body io.Reader, most int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, most+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > most {
		return nil, ErrTooLong
	}
	return data, nil
}
