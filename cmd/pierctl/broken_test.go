package main

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/fake"
)

// Guards against: an answer that is no HTTP counts as one of an instance, so that an order to it seems done.
func TestBrokenHeads(t *testing.T) {
	for name, head := range fake.BrokenHeads() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, err := fake.BrokenText(head, "{}")
			is.NoErr(err)
			t.Cleanup(func() { _ = f.Close() })
			at := instance{Name: "entry-1", Admin: f.Addr()}
			is.True((&cli{}).callAdmin(context.Background(), http.MethodPost, at, "/drain", nil, nil) != nil)
			_, err = (&cli{}).instanceStatus(context.Background(), at)
			is.True(err != nil)
		})
	}
}
