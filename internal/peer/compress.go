package peer

import (
	"bytes"
	"compress/flate"

	"github.com/corianderpier/corianderpier/internal/limit"
)

const compressAbove = 1 << 10 // bytes of a response's body; a smaller one is not worth compressing

// compress returns the response with its body compressed if it is larger than compressAbove.
func (r response) compress() (response, error) {
	if len(r.Body) <= compressAbove {
		return r, nil
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return r, err
	}
	if _, err := w.Write(r.Body); err != nil {
		return r, err
	}
	if err := w.Close(); err != nil {
		return r, err
	}
	r.Body, r.Compressed = compressed.Bytes(), true
	return r, nil
}

// decompress returns the response with its original body.
func (r response) decompress() (response, error) {
	if !r.Compressed {
		return r, nil
	}
	body, err := limit.ReadAll(flate.NewReader(bytes.NewReader(r.Body)), maxMessageBytes)
	if err != nil {
		return r, err
	}
	r.Body, r.Compressed = body, false
	return r, nil
}
