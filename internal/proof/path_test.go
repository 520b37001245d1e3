package proof

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/fake"
	"github.com/corianderpier/corianderpier/internal/stage"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// A prompt is answered completely, and a booking that is sent through two instances at
// the same time is executed once.
func TestWholePath(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	site := stage.Start(t, stage.Spec{Entries: 3, Engines: 2, PlainTargets: 1, Config: siteConfig()})
	ctx := testContext(t, 30*time.Second)

	prompt := strings.Repeat("lot 7, washed, citrus; ", 200)
	answer, err := site.CustomerClient("importer").Complete(ctx, wire.Completion{Profile: "status", Prompt: prompt, MaxTokens: 20})
	is.NoErr(err)
	is.Equal(answer.Text, fake.CompletionText(prompt, 20))

	var group sync.WaitGroup
	results := make([]wire.Result, 2)
	errs := make([]error, 2)
	for i := range results {
		group.Go(func() {
			results[i], errs[i] = site.PinnedClient(site.Entries[i], "importer").Call(ctx, wire.Call{Profile: "hold", Body: "20 bags"}, "hold-1")
		})
	}
	group.Wait()
	for i := range results {
		is.NoErr(errs[i])
		is.Equal(results[i].Body, fake.Receipt("hold-1", "20 bags"))
	}
	is.Equal(len(site.Runs()), 1)
}
