package trace

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const firstLog = `started
{"time":"2026-12-04T06:00:01.5Z","level":"INFO","msg":"request","instance":"entry-1","request":"b","outcome":"answered","target":"x"}
{"time":"2026-12-04T06:00:02.5Z","level":"INFO","msg":"request","instance":"entry-1","request":"a","outcome":"target_failed","target":"x"}
{"time":"2026-12-04T06:00:02.1Z","level":"INFO","msg":"attempt failed","instance":"entry-1","request":"a","target":"x","error":"reset"}
`

const secondLog = `{"time":"2026-12-04T06:00:02.3Z","level":"INFO","msg":"target down","instance":"entry-2","target":"x"}
{"time":"2026-12-04T06:00:02.3Z","level":"INFO","msg":"target down","instance":"entry-2","target":"y"}
{"time":"2026-12-04T06:01:02.3Z","level":"INFO","msg":"target down","instance":"entry-2","target":"x"}
`

// Read finds the lines of a request and nearby lines about its target in several logs, sorts them by time, and explains
// the outcome. Lines about other targets or at other times are left out.
func TestRead(t *testing.T) {
	is := is.New(t)
	found, err := Read("a", strings.NewReader(firstLog), strings.NewReader(secondLog))
	is.NoErr(err)
	is.Equal(len(found.Lines), 2)
	is.Equal(found.Lines[0].Message, "attempt failed")
	is.Equal(len(found.TargetEvents), 1)
	is.True(strings.HasPrefix(found.Explanation(), "target_failed: "))
	var out strings.Builder
	found.Print(&out)
	is.True(strings.Contains(out.String(), "entry-2 target down target=x"))
	const refusal = `{"time":"2026-12-04T06:00:02.3Z","msg":"request refused","instance":"entry-1","request":"d","reason":"evacuated"}`
	evacuated, err := Read("d", strings.NewReader(refusal))
	is.NoErr(err)
	is.True(strings.HasPrefix(evacuated.Explanation(), "evacuated: "))
	none, err := Read("c", strings.NewReader(firstLog))
	is.NoErr(err)
	is.True(strings.HasPrefix(none.Explanation(), "not in these logs"))
}
