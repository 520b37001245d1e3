package pier

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/pkg/wire"
)

// An answer counts the addresses that were tried, also when none of them answered.
func TestTriesWhenAllFail(t *testing.T) {
	is := is.New(t)
	c := &Client{Seeds: []string{"127.0.0.1:1"}, SeedsOnly: true, MaxTries: 3}
	answer, err := c.Complete(context.Background(), wire.Completion{})
	is.True(err != nil)
	is.Equal(answer.Tries, 3)
}
