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
	"github.com/heatherfront/heatherfront/hfintake"
)

const (
	idleTimeout = 2 * time.Minute
	identityKey = "identity"
)

// API serves the HTTP API.
type API struct {
	backend      Backend
	dispatcher   Dispatcher
	operatorHash string // hash of the operator's secret from the settings, or ""
	maxBody      int64
	server       *http.Server
}

// New returns the API of a backend. operatorHash is the hash of the operator's secret
// from the settings, or ""; maxBody bounds request bodies in bytes, and intake what all of them take.
func New(backend Backend, dispatcher Dispatcher, operatorHash string, maxBody int64, intake *hfintake.Intake) *API {
	a := &API{backend: backend, dispatcher: dispatcher, operatorHash: operatorHash, maxBody: maxBody}
	a.server = intake.Server(a.Handler(), idleTimeout, "/ready", "/live", "/metrics")
	return a
}

// Serve accepts connections on ln until Shutdown or Close.
func (a *API) Serve(ln net.Listener) error {
	if err := a.server.Serve(ln); err != nil && err != http.ErrServerClosed {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// Shutdown stops accepting connections and waits for the requests in progress. It fails
// if ctx ends first.
func (a *API) Shutdown(ctx context.Context) error {
	if err := a.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("shut down callers' interface: %w", err)
	}
	return nil
}

// Close closes every connection at once.
func (a *API) Close() error {
	if err := a.server.Close(); err != nil {
		return fmt.Errorf("close callers' interface: %w", err)
	}
	return nil
}

// Handler returns the handler of all routes.
func (a *API) Handler() http.Handler {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	e.HTTPErrorHandler = handleError
	e.Use(a.closeWhileStopping)
	e.GET("/live", func(c echo.Context) error { return c.String(http.StatusOK, "live\n") })
	e.GET("/ready", a.getReady)
	e.GET("/metrics", a.getMetrics)
	v1 := e.Group("/v1", a.authenticate)
	v1.POST("/requests/:work", a.serveRequest)
	v1.POST("/jobs", a.submitJob)
	v1.GET("/jobs", a.listJobs)
	v1.GET("/jobs/:id", a.getJob)
	v1.DELETE("/jobs/:id", a.cancelJob)
	operator := v1.Group("", operatorsOnly)
	operator.GET("/resources/:kind", a.listResources)
	operator.GET("/resources/:kind/:name", a.getResource)
	operator.PUT("/resources/:kind/:name", a.putResource)
	operator.DELETE("/resources/:kind/:name", a.deleteResource)
	operator.GET("/watch", a.watchResources)
	operator.GET("/applied", a.getApplied)
	operator.GET("/plan", a.planMerge)
	operator.GET("/status", a.getStatus)
	operator.GET("/burn", a.getBurnReport)
	operator.GET("/burn.html", a.getBurnPage)
	return e
}

// closeWhileStopping makes each connection close after its current response once the
// instance is stopping, so that none is cut off in the middle of one.
func (a *API) closeWhileStopping(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if a.backend.Stopping() {
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		return next(c)
	}
}

func (a *API) getReady(c echo.Context) error {
	ok, reason := a.backend.Ready()
	if !ok {
		return c.String(http.StatusServiceUnavailable, reason+"\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (a *API) getMetrics(c echo.Context) error {
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	metrics.WriteJSONOnce(a.backend.Registry(), c.Response())
	return nil
}

// authenticate accepts "Authorization: Bearer caller:secret", or the same credential as
// basic authentication.
func (a *API) authenticate(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		identity, err := a.backend.Accounts().Authenticate(credential(c.Request()), a.operatorHash)
		if err != nil {
			c.Response().Header().Set(echo.HeaderWWWAuthenticate, "Bearer")
			return problem(http.StatusUnauthorized, "credential not accepted")
		}
		c.Set(identityKey, identity)
		return next(c)
	}
}

// credential returns the credential "caller:secret" of a request, or "".
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

// operatorsOnly refuses requests of callers and auditors.
func operatorsOnly(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !identityOf(c).Operator() {
			return problem(http.StatusForbidden, "only operators may do this")
		}
		return next(c)
	}
}
