package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/rotisserie/eris"
)

const packAbove = 1 << 10 // bytes of an answer that is worth compressing

// pack compresses a large body.
func (a answer) pack() (answer, error) {
	if len(a.Body) <= packAbove {
		return a, nil
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return a, err
	}
	if _, err := w.Write(a.Body); err != nil {
		return a, err
	}
	if err := w.Close(); err != nil {
		return a, err
	}
	a.Body, a.Packed = packed.Bytes(), true
	return a, nil
}

// unpack restores a body that was compressed.
func (a answer) unpack() (answer, error) {
	if !a.Packed {
		return a, nil
	}
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(a.Body)), maxMessage+1))
	if err != nil {
		return a, err
	}
	if len(body) > maxMessage {
		return a, eris.New("answer too large")
	}
	a.Body, a.Packed = body, false
	return a, nil
}
