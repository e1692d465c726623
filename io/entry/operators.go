package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"magnolialedge"
	core "magnolialedge/core/proc"
	"magnolialedge/core/vers"
	"magnolialedge/io/event"
	"magnolialedge/io/form"
)

// ChangeRequest is the request body of a submitted change.
type ChangeRequest struct {
	BaseRevision int64           `json:"base"`
	ChangeID     string          `json:"changeId"`
	Author       string          `json:"author"`
	Document     json.RawMessage `json:"document"`
}

// ChangeResponse is the response body for a submitted change. After a conflict, Stored is
// the version in the store, which the change must be based on instead.
type ChangeResponse struct {
	Kind             magnolialedge.ErrorKind        `json:"kind,omitempty"`
	Outcome          magnolialedge.Outcome          `json:"outcome"`
	Revision         int64                          `json:"revision"`
	Detail           string                         `json:"detail,omitempty"`
	ValidationErrors vers.ValidationErrors          `json:"faults,omitempty"`
	Stored           *magnolialedge.DocumentVersion `json:"stored,omitempty"`
}

func (e *Entry) operatorHandler() (http.Handler, error) {
	r := echo.New()
	r.HideBanner = true
	r.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", e.handleReady)
	console, err := form.NewConsole(form.ConsoleConfig{Syncer: e.syncer, Token: e.settings.Token})
	if err != nil {
		return nil, err
	}
	console.Register(r)
	guarded := r.Group("", e.requireToken)
	guarded.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{})))
	guarded.GET("/dump", func(c echo.Context) error { return c.JSONPretty(http.StatusOK, e.dump(), "  ") })
	guarded.GET("/v1/config", func(c echo.Context) error { return c.JSON(http.StatusOK, e.syncer.Version()) })
	guarded.POST("/v1/config", e.handleChange)
	guarded.GET("/v1/inforce", func(c echo.Context) error {
		return c.JSON(http.StatusOK, e.syncer.QueryEntries(c.Request().Context()))
	})
	return r, nil
}

func (e *Entry) handleReady(c echo.Context) error {
	if !e.isReady() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (e *Entry) requireToken(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !secretsEqual(token, e.settings.Token) {
			e.log.Log(event.OperatorForbidden, "from", c.Request().RemoteAddr, "path", c.Path())
			return c.JSON(http.StatusForbidden, ChangeResponse{Kind: magnolialedge.KindForbidden, Outcome: magnolialedge.OutcomeNotRun})
		}
		return next(c)
	}
}

// maxChangeBytes limits the body of a submitted change: a document and 4 KiB for the other
// fields.
const maxChangeBytes = vers.MaxDocumentBytes + 4<<10

func (e *Entry) handleChange(c echo.Context) error {
	var req ChangeRequest
	body := http.MaxBytesReader(c.Response(), c.Request().Body, maxChangeBytes)
	if err := json.NewDecoder(body).Decode(&req); err != nil || req.ChangeID == "" {
		return c.JSON(http.StatusBadRequest, ChangeResponse{
			Kind:    magnolialedge.KindBadRequest,
			Outcome: magnolialedge.OutcomeNotRun,
			Detail:  "the body must be a JSON object with base, changeId, author and document, of at most one megabyte",
		})
	}
	status, response := e.submitChange(c, req)
	return c.JSON(status, response)
}

func (e *Entry) submitChange(c echo.Context, req ChangeRequest) (int, ChangeResponse) {
	doc, err := vers.Parse(req.Document)
	if validationErrs, ok := err.(vers.ValidationErrors); ok {
		kind := magnolialedge.KindInvalidDocument
		return magnolialedge.ErrorResponseFor(kind).Status, ChangeResponse{Kind: kind, Outcome: magnolialedge.OutcomeNotRun, ValidationErrors: validationErrs}
	}
	change := vers.Change{ID: req.ChangeID, BaseRevision: req.BaseRevision, Author: req.Author, Document: doc}
	result, err := e.syncer.Submit(c.Request().Context(), change)
	if err == nil {
		return http.StatusOK, ChangeResponse{Outcome: magnolialedge.OutcomeRan, Revision: result.Revision}
	}
	kind := magnolialedge.KindOf(err)
	response := ChangeResponse{Kind: kind, Outcome: outcomeOf(err), Revision: result.Revision, Detail: err.Error()}
	if kind == magnolialedge.KindConflict {
		response.Stored = &result.Stored
	}
	return magnolialedge.ErrorResponseFor(kind).Status, response
}

// Dump is a snapshot of the process's state, served to operators as JSON.
type Dump struct {
	Instance         magnolialedge.Instance   `json:"instance"`
	Now              time.Time                `json:"now"`
	StartedAt        time.Time                `json:"start"`
	IsLeaving        bool                     `json:"leaving"`
	IsRelay          bool                     `json:"relay"`
	Revision         int64                    `json:"revision"`
	AppliedAt        time.Time                `json:"since"`
	InFlight         int64                    `json:"inFlight"`
	KeyCount         int                      `json:"keys"`
	QuarantineCount  int                      `json:"quarantine"`
	StoreCalls       StoreCalls               `json:"storeCalls"`
	Instances        []magnolialedge.Instance `json:"instances"`
	Services         []core.ServiceState      `json:"services"`
	MeasurementUsage []core.MeasurementUsage  `json:"measuring"`
}

// StoreCalls counts the calls to the platform's key-value service by purpose.
type StoreCalls struct {
	Config int64 `json:"config"`
	Claims int64 `json:"claims"`
}

func (e *Entry) dump() Dump {
	return Dump{
		Instance:         e.self,
		Now:              time.Now(),
		StartedAt:        e.startTime,
		IsLeaving:        e.leaving.isSet(),
		IsRelay:          e.syncer.IsRelay(),
		Revision:         e.syncer.Version().Revision,
		AppliedAt:        e.fleet.AppliedAt(),
		InFlight:         e.server.InFlight(),
		KeyCount:         e.keys.Len(),
		QuarantineCount:  e.quarantine.Len(),
		StoreCalls:       StoreCalls{Config: e.syncer.StoreCalls(), Claims: e.claims.Calls()},
		Instances:        e.fleet.Instances(),
		Services:         e.fleet.States(),
		MeasurementUsage: e.fleet.MeasurementUsage(),
	}
}

func (e *Entry) registerGauges() {
	gauge := func(name, help string, value func() float64) {
		opts := prometheus.GaugeOpts{Namespace: "magnolialedge", Name: name, Help: help}
		e.registry.MustRegister(prometheus.NewGaugeFunc(opts, value))
	}
	gauge("revision", "Revision of the configuration in force.", func() float64 { return float64(e.syncer.Version().Revision) })
	gauge("keys", "Idempotency keys remembered.", func() float64 { return float64(e.keys.Len()) })
	gauge("quarantined", "Requests during which upstreams were lost.", func() float64 { return float64(e.quarantine.Len()) })
	gauge("store_calls", "Calls made to the platform's service.", func() float64 {
		return float64(e.syncer.StoreCalls() + e.claims.Calls())
	})
	gauge("relay", "1 while this entry is a relay of its region.", func() float64 {
		if e.syncer.IsRelay() {
			return 1
		}
		return 0
	})
}

func outcomeOf(err error) magnolialedge.Outcome {
	var e *magnolialedge.Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return magnolialedge.OutcomeUnknown
}
