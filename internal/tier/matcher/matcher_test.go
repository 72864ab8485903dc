package matcher

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

// testTree returns a tree whose handlers are strings.
func testTree(t *testing.T) *Tree[string] {
	t.Helper()
	tree := new(Tree[string])
	assert.NilError(t, tree.Add("POST", "/api/Configuration.Replace", "replace"))
	assert.NilError(t, tree.Add("GET", "/api/Configuration.Show", "show"))
	assert.NilError(t, tree.Add("POST", "/api/Retire.Begin/{node}", "begin"))
	assert.NilError(t, tree.Add("GET", "/api/Retire.Show/{node}", "retirement"))
	assert.NilError(t, tree.Add("DELETE", "/api/Retire.Show/{node}", "forget"))
	assert.NilError(t, tree.Add("GET", "/api/Retire.Show/all", "all"))
	assert.NilError(t, tree.Add("GET", "/api/{kind}/of/{node}", "kind"))
	assert.NilError(t, tree.Add("GET", "/", "root"))
	return tree
}

func TestMatchFindsHandlerAndValues(t *testing.T) {
	cases := []struct{ method, path, handler, node, kind string }{
		{"POST", "/api/Configuration.Replace", "replace", "", ""},
		{"GET", "/api/Configuration.Show", "show", "", ""},
		{"GET", "/api/Configuration%2EShow", "show", "", ""},
		{"POST", "/api/Retire.Begin/n-1", "begin", "n-1", ""},
		{"POST", "/api/Retire.Begin/a%2Fb%20c", "begin", "a/b c", ""},
		{"GET", "/api/Retire.Show/n-1", "retirement", "n-1", ""},
		{"GET", "/api/Retire.Show/all", "all", "", ""},
		{"DELETE", "/api/Retire.Show/all", "forget", "all", ""},
		{"GET", "/api/Retire.Show/of/n-1", "kind", "n-1", "Retire.Show"},
		{"GET", "/", "root", "", ""},
	}
	tree := testTree(t)
	for _, c := range cases {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			handler, values, err := tree.Match(c.method, c.path)
			assert.NilError(t, err)
			assert.Equal(t, handler, c.handler)
			assert.Equal(t, values.Get("node"), c.node)
			assert.Equal(t, values.Get("kind"), c.kind)
		})
	}
}

func TestMatchRejectsUnknownPaths(t *testing.T) {
	tree := testTree(t)
	paths := []string{
		"", "*", "api/Configuration.Show", "/api", "/api/", "//", "/api//Configuration.Show",
		"/api/Configuration.Show/", "/api/configuration.show", "/api/Retire.Begin", "/api/Retire.Begin/",
		"/api/Retire.Begin/a/b", "/api/Retire.Begin/%zz", "/api/Retire.Begin/%", "/API/Configuration.Show",
	}
	for _, path := range paths {
		_, _, err := tree.Match("GET", path)
		assert.ErrorIs(t, err, ErrNotFound, "%q", path)
		assert.Assert(t, !errors.Is(err, ErrMethod), "%q", path)
	}
	_, _, err := new(Tree[int]).Match("GET", "/")
	assert.ErrorIs(t, err, ErrNotFound)
}

func TestMatchReportsAllowedMethods(t *testing.T) {
	cases := []struct {
		method, path string
		allowed      []string
	}{
		{"GET", "/api/Configuration.Replace", []string{"POST"}},
		{"HEAD", "/api/Configuration.Show", []string{"GET"}},
		{"get", "/api/Configuration.Show", []string{"GET"}},
		{"PUT", "/api/Retire.Show/n-1", []string{"DELETE", "GET"}},
		{"PUT", "/api/Retire.Show/all", []string{"DELETE", "GET"}},
	}
	tree := testTree(t)
	for _, c := range cases {
		_, _, err := tree.Match(c.method, c.path)
		assert.ErrorIs(t, err, ErrMethod)
		methodError, ok := errors.Into[*MethodError](err)
		assert.Assert(t, ok)
		assert.DeepEqual(t, methodError.Allowed, c.allowed)
	}
}

func TestAddRejectsInvalidPatterns(t *testing.T) {
	cases := []struct{ method, pattern string }{
		{"", "/x"},
		{"GET", ""},
		{"GET", "x"},
		{"GET", "/x/"},
		{"GET", "//x"},
		{"GET", "/x/{}"},
		{"GET", "/api/Configuration.Show"},
		{"GET", "/api/Retire.Show/{member}"},
	}
	tree := testTree(t)
	for _, c := range cases {
		assert.ErrorIs(t, tree.Add(c.method, c.pattern, "x"), ErrPattern, "%s %s", c.method, c.pattern)
	}
}

func TestServeRespondsWithStatusAndAllow(t *testing.T) {
	tree := new(Tree[Handler])
	assert.NilError(t, tree.Add("GET", "/x/{node}", func(w http.ResponseWriter, _ *http.Request, values Values) {
		fmt.Fprint(w, values.Get("node"))
	}))
	handler := Serve(tree, func(w http.ResponseWriter, status int, err error) { http.Error(w, err.Error(), status) })
	cases := []struct {
		method, target, allow, body string
		status                      int
	}{
		{"GET", "/x/a%2Fb?c=d", "", "a/b", 200},
		{"POST", "/x/a", "GET", "method not allowed, allowed: GET\n", 405},
		{"GET", "/x", "", "no such path\n", 404},
	}
	for _, c := range cases {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, httptest.NewRequest(c.method, c.target, nil))
		assert.Equal(t, recorder.Code, c.status)
		assert.Equal(t, recorder.Body.String(), c.body)
		assert.Equal(t, recorder.Header().Get("Allow"), c.allow)
	}
}
