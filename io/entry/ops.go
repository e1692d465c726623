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

// ChangeRequest is the body of a submitted change.
type ChangeRequest struct {
	BaseRevision int64           `json:"base"`
	ChangeID     string          `json:"changeId"`
	Author       string          `json:"author"`
	Document     json.RawMessage `json:"document"`
}

// ChangeResponse reports what became of a submitted change.
type ChangeResponse struct {
	Kind             magnolialedge.ErrorKind        `json:"kind,omitempty"`
	Outcome          magnolialedge.Outcome          `json:"outcome"`
	Revision         int64                          `json:"revision"`
	Detail           string                         `json:"detail,omitempty"`
	ValidationErrors vers.ValidationErrors          `json:"faults,omitempty"`
	Stored           *magnolialedge.DocumentVersion `json:"stored,omitempty"`
}

func (e *Entry) opsHandler() (http.Handler, error) {
	r := echo.New()
	r.HideBanner = true
	r.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", e.handleReady)
	console, err := form.NewConsole(form.ConsoleConfig{Syncer: e.keeper, Token: e.settings.Token})
	if err != nil {
		return nil, err
	}
	console.Register(r)
	guarded := r.Group("", e.requireToken)
	guarded.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(e.registry, promhttp.HandlerOpts{})))
	guarded.GET("/dump", func(c echo.Context) error { return c.JSONPretty(http.StatusOK, e.dump(), "  ") })
	guarded.GET("/v1/config", func(c echo.Context) error { return c.JSON(http.StatusOK, e.keeper.Version()) })
	guarded.POST("/v1/config", e.handleChange)
	guarded.GET("/v1/inforce", func(c echo.Context) error {
		return c.JSON(http.StatusOK, e.keeper.QueryEntries(c.Request().Context()))
	})
	return r, nil
}

func (e *Entry) handleReady(c echo.Context) error {
	if !e.ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (e *Entry) requireToken(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		token, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		if !sameSecret(token, e.settings.Token) {
			e.log.Log(event.OperatorForbidden, "from", c.Request().RemoteAddr, "path", c.Path())
			return c.JSON(http.StatusForbidden, ChangeResponse{Kind: magnolialedge.KindForbidden, Outcome: magnolialedge.OutcomeNotRun})
		}
		return next(c)
	}
}

// mostChangeBytes bounds a submitted change: a document and a little more.
const mostChangeBytes = vers.MaxDocumentBytes + 4<<10

func (e *Entry) handleChange(c echo.Context) error {
	var req ChangeRequest
	body := http.MaxBytesReader(c.Response(), c.Request().Body, mostChangeBytes)
	if err := json.NewDecoder(body).Decode(&req); err != nil || req.ChangeID == "" {
		return c.JSON(http.StatusBadRequest, ChangeResponse{
			Kind:    magnolialedge.KindBadRequest,
			Outcome: magnolialedge.OutcomeNotRun,
			Detail:  "want a JSON object with base, changeId, author and document, of at most a megabyte",
		})
	}
	status, answer := e.change(c, req)
	return c.JSON(status, answer)
}

func (e *Entry) change(c echo.Context, req ChangeRequest) (int, ChangeResponse) {
	doc, err := vers.Parse(req.Document)
	if faults, ok := err.(vers.ValidationErrors); ok {
		kind := magnolialedge.KindInvalidDocument
		return magnolialedge.ErrorResponseFor(kind).Status, ChangeResponse{Kind: kind, Outcome: magnolialedge.OutcomeNotRun, ValidationErrors: faults}
	}
	change := vers.Change{ID: req.ChangeID, BaseRevision: req.BaseRevision, Author: req.Author, Document: doc}
	receipt, err := e.keeper.Submit(c.Request().Context(), change)
	if err == nil {
		return http.StatusOK, ChangeResponse{Outcome: magnolialedge.OutcomeRan, Revision: receipt.Revision}
	}
	kind := magnolialedge.KindOf(err)
	answer := ChangeResponse{Kind: kind, Outcome: outcomeOf(err), Revision: receipt.Revision, Detail: err.Error()}
	if kind == magnolialedge.KindConflict {
		answer.Stored = &receipt.Stored
	}
	return magnolialedge.ErrorResponseFor(kind).Status, answer
}

// Dump is the state of the whole process.
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

// StoreCalls counts the calls to the platform's service by purpose.
type StoreCalls struct {
	Config int64 `json:"config"`
	Claims int64 `json:"claims"`
}

func (e *Entry) dump() Dump {
	return Dump{
		Instance:         e.self,
		Now:              time.Now(),
		StartedAt:        e.start,
		IsLeaving:        e.leaving.is(),
		IsRelay:          e.keeper.IsRelay(),
		Revision:         e.keeper.Version().Revision,
		AppliedAt:        e.fleet.AppliedAt(),
		InFlight:         e.server.InFlight(),
		KeyCount:         e.keys.Len(),
		QuarantineCount:  e.quarantine.Len(),
		StoreCalls:       StoreCalls{Config: e.keeper.StoreCalls(), Claims: e.claims.Calls()},
		Instances:        e.fleet.Instances(),
		Services:         e.fleet.States(),
		MeasurementUsage: e.fleet.MeasuringUsage(),
	}
}

func (e *Entry) registerGauges() {
	gauge := func(name, help string, value func() float64) {
		opts := prometheus.GaugeOpts{Namespace: "magnolialedge", Name: name, Help: help}
		e.registry.MustRegister(prometheus.NewGaugeFunc(opts, value))
	}
	gauge("revision", "Revision of the configuration in force.", func() float64 { return float64(e.keeper.Version().Revision) })
	gauge("keys", "Idempotency keys remembered.", func() float64 { return float64(e.keys.Len()) })
	gauge("quarantined", "Requests during which upstreams were lost.", func() float64 { return float64(e.quarantine.Len()) })
	gauge("store_calls", "Calls made to the platform's service.", func() float64 {
		return float64(e.keeper.StoreCalls() + e.claims.Calls())
	})
	gauge("relay", "1 while this entry is a relay of its region.", func() float64 {
		if e.keeper.IsRelay() {
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
