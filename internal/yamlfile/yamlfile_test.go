package yamlfile

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type target struct {
	Name  string `yaml:"name"`
	Count int    `yaml:"count"`
	Inner struct {
		On bool `yaml:"on"`
	} `yaml:"inner"`
	List []struct {
		Size float64 `yaml:"size"`
	} `yaml:"list"`
	Free map[string]string `yaml:"free"`
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	for text, want := range map[string]string{
		"name: a\ncuont: 1\n":                 "f.yaml:2: cuont: unknown key; allowed here: name, count, inner, list, free",
		"name: a\ninner:\n  off: true\n":      "f.yaml:3: inner.off: unknown key; allowed here: on",
		"list:\n  - size: 1\n  - sise: 2\n":   "f.yaml:3: list.1.sise: unknown key; allowed here: size",
		"count: many\n":                       "f.yaml:1: count: ",
		"list:\n  - size: 1\n  - size: [2]\n": "f.yaml:3: list.1.size",
		"name: {a: 1}\n":                      "f.yaml:1: name: a mapping stands where a text is wanted",
		"name: a\nname: b\n":                  "f.yaml:2: ",
		"name: &x a\n":                        "f.yaml:1: name: anchors, aliases",
		"name: a\n---\nname: b\n":             "f.yaml: more than one document",
		"name: [\n":                           "f.yaml:1: ",
		"free: {a: {b: c}}":                   "f.yaml:1: free.a",
		"\tname: a":                           "f.yaml:1",
		strings.Repeat("[", 10000):            "f.yaml",
		strings.Repeat("x", maxSize+1):        "f.yaml: larger than 4 MiB",
	} {
		var v target
		_, err := Decode("f.yaml", []byte(text), &v)
		if assert.Error(t, err, "%.40s", text) {
			assert.Contains(t, err.Error(), want)
			assert.NotContains(t, err.Error(), "\n")
		}
	}
}

func TestDecodeKeepsDefaultsOfAbsentKeys(t *testing.T) {
	v := target{Name: "was", Count: 3}
	f, err := Decode("f.yaml", []byte("# nothing but\ncount: 4\ninner: {on: true}\nfree: {a: b}\n"), &v)
	require.NoError(t, err)
	assert.Equal(t, "was", v.Name)
	assert.Equal(t, 4, v.Count)
	assert.True(t, v.Inner.On)
	assert.Equal(t, "b", v.Free["a"])
	assert.Equal(t, 2, f.Line("count"))
	assert.Equal(t, 3, f.Line("inner.on"))
	assert.Zero(t, f.Line("name"))
	assert.EqualError(t, f.Errorf("inner.on", "must %s", "not"), "f.yaml:3: inner.on: must not")
	for _, empty := range []string{"", "\n", "# a comment\n"} {
		_, err := Decode("f.yaml", []byte(empty), &v)
		require.NoError(t, err)
	}
}

func TestSetReplacesOrAddsKeys(t *testing.T) {
	text := []byte("name: a\nlist:\n  - size: 1\n  - size: 2\n")
	for _, s := range [][2]string{{"list.1.size", "7"}, {"inner.on", "true"}, {"name", "b"}} {
		var err error
		text, err = Set("f.yaml", text, s[0], s[1])
		require.NoError(t, err)
	}
	var v target
	_, err := Decode("f.yaml", text, &v)
	require.NoError(t, err)
	assert.Equal(t, "b", v.Name)
	assert.True(t, v.Inner.On)
	assert.Equal(t, 7.0, v.List[1].Size)
	for _, key := range []string{"list.2.size", "list.x", "name.a"} {
		_, err := Set("f.yaml", text, key, "1")
		assert.Error(t, err, key)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("name: a\nlist: [{size: 1}]\n")
	f.Add("a: &a [*a]")
	f.Add("? [x]\n: y\n")
	f.Add("<<: {name: b}")
	f.Fuzz(func(t *testing.T, text string) {
		var v target
		if _, err := Decode("f.yaml", []byte(text), &v); err != nil {
			assert.NotContains(t, err.Error(), "\n")
		}
	})
}
