package hfapi

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfwire"
)

// longestWatch bounds a watch of the resources.
const longestWatch = 30 * time.Second

// ResourceStatus is a resource with what the system reports of it.
type ResourceStatus struct {
	hfconfig.Manifest `json:",inline"`
	Deleted           bool                `json:"deleted,omitempty"`
	Applied           map[string]bool     `json:"applied,omitempty"` // by instance: in force there
	Guarantees        []*hfwire.Guarantee `json:"guarantees,omitempty"`
	Problems          []string            `json:"problems,omitempty"`
}

func resourceStatus(r hfconfig.Resource) ResourceStatus {
	return ResourceStatus{
		Manifest: hfconfig.Manifest{Kind: r.Kind(), Name: r.Name(), Revision: r.Revision(), Spec: r.Spec()},
		Deleted:  r.Deleted(),
	}
}

func kindOf(c echo.Context) (hfconfig.Kind, error) {
	for _, k := range hfconfig.Kinds() {
		if string(k) == c.Param("kind") {
			return k, nil
		}
	}
	return "", problem(http.StatusNotFound, "no kind of resource "+c.Param("kind"))
}

func (a *API) listResources(c echo.Context) error {
	kind, err := kindOf(c)
	if err != nil {
		return fmt.Errorf("resource: %w", err)
	}
	list := []ResourceStatus{}
	for _, r := range a.backend.View().List(kind) {
		list = append(list, resourceStatus(r))
	}
	return c.JSON(http.StatusOK, list)
}

func (a *API) getResource(c echo.Context) error {
	kind, err := kindOf(c)
	if err != nil {
		return fmt.Errorf("resource: %w", err)
	}
	r, ok := a.backend.View().Find(kind, c.Param("name"))
	if !ok || r.Deleted() {
		return problem(http.StatusNotFound, "no "+string(kind)+" "+c.Param("name"))
	}
	status := resourceStatus(r)
	status.Applied = a.backend.Applied(r.Revision())
	if kind == hfconfig.KindAccount {
		a.addGuarantees(c, &status)
	}
	return c.JSON(http.StatusOK, status)
}

// addGuarantees reports which guarantees of an account can be reclaimed now.
func (a *API) addGuarantees(c echo.Context, s *ResourceStatus) {
	domains, missing := a.backend.Status(c.Request().Context())
	for _, d := range domains {
		for _, g := range d.GetGuarantees() {
			if g.GetAccount() != s.Name {
				continue
			}
			s.Guarantees = append(s.Guarantees, g)
			if !g.GetMet() {
				s.Problems = append(s.Problems, "a guarantee of "+strconv.Itoa(int(g.GetSize()))+
					" accelerators in domain "+d.GetDomain()+" cannot be reclaimed now: too few adjacent accelerators work, or fixed jobs hold them")
			}
		}
	}
	for _, d := range missing {
		s.Problems = append(s.Problems, "domain "+d+" did not answer")
	}
}

func (a *API) putResource(c echo.Context) error {
	kind, err := kindOf(c)
	if err != nil {
		return fmt.Errorf("resource: %w", err)
	}
	manifests, err := hfconfig.ReadManifests(c.Request().Body)
	if err != nil {
		return failure(err)
	}
	if len(manifests) != 1 || manifests[0].Kind != kind || manifests[0].Name != c.Param("name") {
		return problem(http.StatusUnprocessableEntity, "the body is not one manifest of "+string(kind)+" "+c.Param("name"))
	}
	m := manifests[0]
	written, err := a.backend.Write(c.Request().Context(), hfconfig.NewResource(m.Kind, m.Name, m.Spec), m.Revision)
	if err != nil {
		return failure(err)
	}
	return c.JSON(http.StatusOK, resourceStatus(written))
}

func (a *API) deleteResource(c echo.Context) error {
	kind, err := kindOf(c)
	if err != nil {
		return fmt.Errorf("resource: %w", err)
	}
	expected, err := revisionOf(c, "revision")
	if err != nil {
		return fmt.Errorf("resource: %w", err)
	}
	tombstone := hfconfig.NewResource(kind, c.Param("name"), nil).Tombstone()
	written, err := a.backend.Write(c.Request().Context(), tombstone, expected)
	if err != nil {
		return failure(err)
	}
	return c.JSON(http.StatusOK, resourceStatus(written))
}

func revisionOf(c echo.Context, name string) (int64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, problem(http.StatusBadRequest, name+" is not a revision")
	}
	return n, nil
}

// watch returns the resources changed after a revision, as soon as there are any.
func (a *API) watch(c echo.Context) error {
	after, err := revisionOf(c, "after")
	if err != nil {
		return fmt.Errorf("resource: %w", err)
	}
	timer := time.NewTimer(longestWatch)
	defer timer.Stop()
	for {
		changed := a.backend.Changed()
		if list := a.newer(after); len(list) > 0 {
			return c.JSON(http.StatusOK, list)
		}
		select {
		case <-changed:
		case <-timer.C:
			return c.JSON(http.StatusOK, []ResourceStatus{})
		case <-c.Request().Context().Done():
			return nil
		}
	}
}

func (a *API) newer(after int64) []ResourceStatus {
	var list []ResourceStatus
	for _, r := range a.backend.View().All() {
		if r.Revision() > after {
			list = append(list, resourceStatus(r))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Revision < list[j].Revision })
	return list
}

func (a *API) applied(c echo.Context) error {
	revision, err := revisionOf(c, "revision")
	if err != nil {
		return fmt.Errorf("resource: %w", err)
	}
	return c.JSON(http.StatusOK, a.backend.Applied(revision))
}

func (a *API) plan(c echo.Context) error {
	plan, err := a.backend.Plan(c.QueryParam("from"), c.QueryParam("into"))
	if err != nil {
		return failure(err)
	}
	return c.JSON(http.StatusOK, plan)
}

// SystemStatus is the state of the instances and the failure domains.
type SystemStatus struct {
	Instances []Instance       `json:"instances"`
	Domains   []*hfwire.Status `json:"domains"`
	Missing   []string         `json:"missing,omitempty"` // failure domains whose leader did not answer
}

func (a *API) status(c echo.Context) error {
	domains, missing := a.backend.Status(c.Request().Context())
	return c.JSON(http.StatusOK, SystemStatus{Instances: a.backend.Instances(), Domains: domains, Missing: missing})
}
