package matcher

import (
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// Handler handles an HTTP request. The values are the named segments of its path.
type Handler func(response http.ResponseWriter, request *http.Request, values Values)

// ErrorHandler responds to a request without a handler, with status 404 or 405.
type ErrorHandler func(response http.ResponseWriter, status int, err error)

// Serve returns an http.Handler for a tree. For status 405 it sets the header Allow before
// it calls handleError.
func Serve(tree *Tree[Handler], handleError ErrorHandler) http.Handler {
	return http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		handler, values, err := tree.Match(request.Method, request.URL.EscapedPath())
		if err == nil {
			handler(response, request, values)
			return
		}
		status := http.StatusNotFound
		if methodError, ok := errors.Into[*MethodError](err); ok {
			status = http.StatusMethodNotAllowed
			response.Header().Set("Allow", strings.Join(methodError.Allowed, ", "))
		}
		handleError(response, status, err)
	})
}
