package matcher

import (
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// Handler answers an HTTP call whose path has these named segments.
type Handler func(response http.ResponseWriter, request *http.Request, values Values)

// ErrorHandler answers an HTTP call that no pattern has, with status 404 or 405.
type ErrorHandler func(response http.ResponseWriter, status int, err error)

// Serve makes an http.Handler of a tree. An answer of status 405 has the header Allow
// set before refuse is called.
func Serve(tree *Tree[Handler], refuse ErrorHandler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		handler, values, err := tree.Match(request.Method, request.URL.EscapedPath())
		if err == nil {
			handler(response, request, values)
			return
		}
		status := http.StatusNotFound
		if wrong, ok := errors.Into[*MethodError](err); ok {
			status = http.StatusMethodNotAllowed
			response.Header().Set("Allow", strings.Join(wrong.Allowed, ", "))
		}
		refuse(response, status, err)
	})
}
