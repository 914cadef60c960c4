package hfapi

import (
	"bytes"
	"html/template"
	"net/http"

	"github.com/labstack/echo/v4"
)

// burnTemplate is the burn report as an HTML page.
var burnTemplate = template.Must(template.New("burn").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body { font: 16px/1.4 sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { border-bottom: 1px solid #ccc; padding: .4em .8em; text-align: right; }
th:first-child, td:first-child, td.text { text-align: left; }
tr.over { background: #fdd; }
</style></head><body>
<h1>Service-level burn</h1>
<p>A burn of 1 spends the error budget exactly over the window: 5 minutes (short) or 1 hour (long).</p>
<table><tr><th>Objective</th><th>Account</th><th>Work</th><th>Target</th><th>Good</th><th>Bad, by reason</th><th>Budget left</th><th>Burn, short</th><th>Burn, long</th></tr>
{{range .}}<tr{{if lt .Budget 0.0}} class="over"{{end}}><td>{{.Objective}}</td><td class="text">{{.Account}}</td><td class="text">{{.Work}}</td><td>{{.Target}}</td><td>{{.Good}}</td><td>{{range $reason, $n := .Bad}}{{$reason}} {{$n}} {{end}}</td><td>{{printf "%.1f%%" .Percent}}</td><td>{{printf "%.2f" .BurnShort}}</td><td>{{printf "%.2f" .BurnLong}}</td></tr>
{{else}}<tr><td colspan="9" class="text">No objectives are declared.</td></tr>
{{end}}</table></body></html>
`))

func (a *API) getBurnReport(c echo.Context) error {
	return c.JSON(http.StatusOK, a.backend.BurnReport(c.Request().Context()))
}

func (a *API) getBurnPage(c echo.Context) error {
	var page bytes.Buffer
	if err := burnTemplate.Execute(&page, a.backend.BurnReport(c.Request().Context())); err != nil {
		return problem(http.StatusInternalServerError, err.Error())
	}
	return c.HTMLBlob(http.StatusOK, page.Bytes())
}
