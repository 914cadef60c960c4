package hfstand

import (
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
)

// faultHandler returns the handler of PUT /fault. It decodes the faults from JSON and
// passes them to set.
func faultHandler[T any](set func(T)) echo.HandlerFunc {
	return func(c echo.Context) error {
		var f T
		if err := c.Bind(&f); err != nil {
			return fmt.Errorf("read fault: %w", err)
		}
		set(f)
		return c.NoContent(http.StatusNoContent)
	}
}
