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

// maxWatchTime bounds a watch of the resources.
const maxWatchTime = 30 * time.Second

// ResourceStatus is a resource and its status.
type ResourceStatus struct {
	hfconfig.Manifest `json:",inline"`
	Deleted           bool                `json:"deleted,omitempty"`
	Applied           map[string]bool     `json:"applied,omitempty"` // by instance: whether the revision is in force there
	Guarantees        []*hfwire.Guarantee `json:"guarantees,omitempty"`
	Problems          []string            `json:"problems,omitempty"`
}

func newResourceStatus(r hfconfig.Resource) ResourceStatus {
	return ResourceStatus{
		Manifest: hfconfig.Manifest{Kind: r.Kind(), Name: r.Name(), Revision: r.Revision(), Spec: r.Spec()},
		Deleted:  r.Deleted(),
	}
}

// kindOf returns the kind of resource in the path.
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
		list = append(list, newResourceStatus(r))
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
	status := newResourceStatus(r)
	status.Applied = a.backend.Applied(r.Revision())
	if kind == hfconfig.KindAccount {
		a.addGuarantees(c, &status)
	}
	return c.JSON(http.StatusOK, status)
}

// addGuarantees adds the guarantees of an account, and a problem for each that cannot
// be reclaimed now and for each failure domain whose leader did not answer.
func (a *API) addGuarantees(c echo.Context, status *ResourceStatus) {
	domains, unreachable := a.backend.Status(c.Request().Context())
	for _, d := range domains {
		for _, g := range d.GetGuarantees() {
			if g.GetAccount() != status.Name {
				continue
			}
			status.Guarantees = append(status.Guarantees, g)
			if !g.GetMet() {
				status.Problems = append(status.Problems, "a guarantee of "+strconv.Itoa(int(g.GetSize()))+
					" accelerators in domain "+d.GetDomain()+" cannot be reclaimed now: too few adjacent accelerators work, or fixed jobs hold them")
			}
		}
	}
	for _, d := range unreachable {
		status.Problems = append(status.Problems, "domain "+d+" did not answer")
	}
}

func (a *API) putResource(c echo.Context) error {
	kind, err := kindOf(c)
	if err != nil {
		return fmt.Errorf("resource: %w", err)
	}
	manifests, err := hfconfig.ReadManifests(c.Request().Body)
	if err != nil {
		return backendProblem(err)
	}
	if len(manifests) != 1 || manifests[0].Kind != kind || manifests[0].Name != c.Param("name") {
		return problem(http.StatusUnprocessableEntity, "the body is not one manifest of "+string(kind)+" "+c.Param("name"))
	}
	m := manifests[0]
	written, err := a.backend.WriteResource(c.Request().Context(), hfconfig.NewResource(m.Kind, m.Name, m.Spec), m.Revision)
	if err != nil {
		return backendProblem(err)
	}
	return c.JSON(http.StatusOK, newResourceStatus(written))
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
	written, err := a.backend.WriteResource(c.Request().Context(), tombstone, expected)
	if err != nil {
		return backendProblem(err)
	}
	return c.JSON(http.StatusOK, newResourceStatus(written))
}

// revisionOf returns a revision from the query parameters, or 0 if it is not set.
func revisionOf(c echo.Context, name string) (int64, error) {
	value := c.QueryParam(name)
	if value == "" {
		return 0, nil
	}
	revision, err := strconv.ParseInt(value, 10, 64)
	if err != nil || revision < 0 {
		return 0, problem(http.StatusBadRequest, name+" is not a revision")
	}
	return revision, nil
}

// watchResources returns the resources that changed after a revision, and waits until
// there are any. It returns an empty list after maxWatchTime.
func (a *API) watchResources(c echo.Context) error {
	after, err := revisionOf(c, "after")
	if err != nil {
		return fmt.Errorf("resource: %w", err)
	}
	timer := time.NewTimer(maxWatchTime)
	defer timer.Stop()
	for {
		changed := a.backend.ConfigChanged()
		if list := a.resourcesAfter(after); len(list) > 0 {
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

// resourcesAfter returns the resources with a revision above after, in the order of
// their revisions.
func (a *API) resourcesAfter(after int64) []ResourceStatus {
	var list []ResourceStatus
	for _, r := range a.backend.View().All() {
		if r.Revision() > after {
			list = append(list, newResourceStatus(r))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Revision < list[j].Revision })
	return list
}

func (a *API) getApplied(c echo.Context) error {
	revision, err := revisionOf(c, "revision")
	if err != nil {
		return fmt.Errorf("resource: %w", err)
	}
	return c.JSON(http.StatusOK, a.backend.Applied(revision))
}

func (a *API) planMerge(c echo.Context) error {
	plan, err := a.backend.PlanMerge(c.QueryParam("from"), c.QueryParam("into"))
	if err != nil {
		return backendProblem(err)
	}
	return c.JSON(http.StatusOK, plan)
}

// SystemStatus is the status of the instances and the failure domains.
type SystemStatus struct {
	Instances          []Instance       `json:"instances"`
	Domains            []*hfwire.Status `json:"domains"`
	UnreachableDomains []string         `json:"missing,omitempty"` // failure domains whose leader did not answer
}

func (a *API) getStatus(c echo.Context) error {
	domains, unreachable := a.backend.Status(c.Request().Context())
	return c.JSON(http.StatusOK, SystemStatus{Instances: a.backend.Instances(), Domains: domains, UnreachableDomains: unreachable})
}
