package hfapi

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rcrowley/go-metrics"

	"github.com/heatherfront/heatherfront/hfaccount"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
	identityKey    = "identity"
)

// API is the HTTP interface.
type API struct {
	backend Backend
	desk    Desk
	root    string // hash of the operator from the settings, or ""
	maxBody int64
	server  *http.Server
}

// New returns the interface of a backend. root is the hash of the operator's secret
// from the settings, or ""; maxBody bounds request bodies in bytes.
func New(b Backend, d Desk, root string, maxBody int64) *API {
	a := &API{backend: b, desk: d, root: root, maxBody: maxBody}
	a.server = &http.Server{
		Handler: a.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return a
}

// Serve takes callers on ln until Shutdown.
func (a *API) Serve(ln net.Listener) error {
	if err := a.server.Serve(ln); err != nil && err != http.ErrServerClosed {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Shutdown stops taking connections and waits for the requests that run. It fails
// when ctx ends first.
func (a *API) Shutdown(ctx context.Context) error {
	if err := a.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down callers' interface: %w", err)
	}
	return nil
}

// Close cuts every connection.
func (a *API) Close() error {
	if err := a.server.Close(); err != nil {
		return fmt.Errorf("close callers' interface: %w", err)
	}
	return nil
}

// Handler returns the routes.
func (a *API) Handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = handleError
	e.Use(a.closeWhileStopping)
	e.GET("/live", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	e.GET("/ready", a.ready)
	e.GET("/metrics", a.metrics)
	v1 := e.Group("/v1", a.authenticate)
	v1.POST("/requests/:work", a.request)
	v1.POST("/jobs", a.submit)
	v1.GET("/jobs", a.listJobs)
	v1.GET("/jobs/:id", a.getJob)
	v1.DELETE("/jobs/:id", a.cancelJob)
	operator := v1.Group("", operatorsOnly)
	operator.GET("/resources/:kind", a.listResources)
	operator.GET("/resources/:kind/:name", a.getResource)
	operator.PUT("/resources/:kind/:name", a.putResource)
	operator.DELETE("/resources/:kind/:name", a.deleteResource)
	operator.GET("/watch", a.watch)
	operator.GET("/applied", a.applied)
	operator.GET("/plan", a.plan)
	operator.GET("/status", a.status)
	operator.GET("/burn", a.burn)
	operator.GET("/burn.html", a.burnPage)
	return e
}

// closeWhileStopping lets each connection end with the answer under way, so that
// none is cut when the instance ends.
func (a *API) closeWhileStopping(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if a.backend.Stopping() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		return next(c)
	}
}

func (a *API) ready(c echo.Context) error {
	ok, why := a.backend.Ready()
	if !ok {
		return c.String(http.StatusServiceUnavailable, why+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (a *API) metrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	metrics.WriteJSONOnce(a.backend.Registry(), c.Response())
	return nil
}

// authenticate accepts "Authorization: Bearer caller:secret", or the same as basic
// authentication.
func (a *API) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		identity, err := a.backend.Book().Authenticate(credential(c.Request()), a.root)
		if err != nil {
			c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return problem(http.StatusUnauthorized, "credential not accepted")
		}
		c.Set(identityKey, identity)
		return next(c)
	}
}

func credential(r *http.Request) string {
	if token, ok := strings.CutPrefix(r.Header.Get(echo.HeaderAuthorization), "Bearer "); ok {
		return token
	}
	if name, secret, ok := r.BasicAuth(); ok {
		return name + ":" + secret
	}
	return ""
}

func identityOf(c echo.Context) hfaccount.Identity {
	return c.Get(identityKey).(hfaccount.Identity)
}

func operatorsOnly(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !identityOf(c).Operator() {
			return problem(http.StatusForbidden, "only operators may do this")
		}
		return next(c)
	}
}
