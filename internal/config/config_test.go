package config

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

// One call reports every invalid value with its field.
func TestCheckFindsAll(t *testing.T) {
	is := is.New(t)
	_, problems := Parse([]byte(`{
		"services": [{"name": "Models", "kind": "engin"}, {"name": "desk", "kind": "plain"}],
		"customers": [{"name": "a", "share": 0}, {"name": "a", "share": 1}],
		"profiles": [{"name": "hold", "service": "dest", "deadline": "1ms"}],
		"operations": {"shards": 5000}
	}`))
	found := make(map[string]bool)
	for _, p := range problems {
		found[p.Field] = true
	}
	for _, field := range []string{
		"services[0].name", "services[0].kind", "customers[0].share", "customers[1].name",
		"profiles[0].service", "profiles[0].deadline", "operations.shards",
	} {
		is.True(found[field]) // the invalid field is reported
	}
	is.Equal(len(problems), 7)
}

// An unknown field, such as a misspelled one, is reported and not ignored.
func TestUnknownField(t *testing.T) {
	is := is.New(t)
	_, problems := Parse([]byte(`{"servces": []}`))
	is.Equal(len(problems), 1)
}

// The shipped examples are valid and unchanged by encoding and parsing.
func TestExamples(t *testing.T) {
	for _, name := range []string{"guild", "court"} {
		is := is.New(t)
		data, err := os.ReadFile("../../examples/" + name + "/config.json")
		is.NoErr(err)
		c, problems := Parse(data)
		is.Equal(len(problems), 0)
		encoded, err := c.Encode()
		is.NoErr(err)
		again, problems := Parse(encoded)
		is.Equal(len(problems), 0)
		is.Equal(again, c)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"services": [{"name": "desk", "kind": "plain"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, problems := Parse(data)
		if len(problems) > 0 {
			return
		}
		encoded, err := c.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, problems := Parse(encoded); len(problems) > 0 {
			t.Fatalf("a valid configuration is invalid after encoding and parsing: %v", problems)
		}
	})
}
