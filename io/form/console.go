package form

import (
	"context"
	"crypto/subtle"
	"embed"
	"html/template"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"magnolialedge"
	"magnolialedge/core/vers"
	iovers "magnolialedge/io/vers"
)

//go:embed page
var pages embed.FS

// Syncer is what the console needs of the entry's configuration.
type Syncer interface {
	Version() magnolialedge.DocumentVersion
	QueryEntries(ctx context.Context) []iovers.EntryVersion
	Submit(ctx context.Context, c vers.Change) (iovers.SubmitResult, error)
}

// ConsoleConfig constructs a Console.
type ConsoleConfig struct {
	Syncer Syncer
	Token  string
}

// Console serves the operators' forms below /console.
type Console struct {
	cfg      ConsoleConfig
	sessions *sessions
	pages    *template.Template
}

// NewConsole returns a Console.
func NewConsole(cfg ConsoleConfig) (*Console, error) {
	t, err := template.ParseFS(pages, "page/*.html")
	return &Console{cfg: cfg, sessions: newSessions(cfg.Token), pages: t}, err
}

// Register adds the console's pages to e.
func (f *Console) Register(e *echo.Echo) {
	g := e.Group("/console", secure)
	g.GET("/style.css", func(c echo.Context) error {
		css, err := pages.ReadFile("page/style.css")
		if err != nil {
			return err
		}
		return c.Blob(http.StatusOK, "text/css; charset=utf-8", css)
	})
	g.GET("/login", func(c echo.Context) error { return f.render(c, http.StatusOK, "login.html", loginPage{}) })
	g.POST("/login", f.login)
	g.GET("", f.signedIn(f.overview))
	g.POST("/logout", f.signedIn(f.logout))
	g.GET("/document", f.signedIn(f.export))
	g.GET("/draft", f.signedIn(f.newDraft))
	g.POST("/draft", f.signedIn(f.editDraft))
	g.POST("/submit", f.signedIn(f.submit))
}

// secure sets the headers that keep other sites away from the console.
func secure(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		h := c.Response().Header()
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("X-Frame-Options", "DENY")
		h.Set("Referrer-Policy", "no-referrer")
		h.Set("Cache-Control", "no-store")
		return next(c)
	}
}

type signedHandler func(c echo.Context, s session) error

// signedIn asks for a session and, on a POST, for its CSRF token.
func (f *Console) signedIn(next signedHandler) echo.HandlerFunc {
	return func(c echo.Context) error {
		s, ok := f.sessions.of(c)
		if !ok {
			return c.Redirect(http.StatusSeeOther, "/console/login")
		}
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, mostFormBytes)
		if c.Request().Method == http.MethodPost {
			sent := c.FormValue("csrf")
			if subtle.ConstantTimeCompare([]byte(sent), []byte(s.csrf)) != 1 {
				return c.String(http.StatusForbidden, "The form is out of date or larger than the limit. Go back and load it again.\n")
			}
		}
		return next(c, s)
	}
}

// mostFormBytes bounds a form: a document that is escaped and a few fields.
const mostFormBytes = 4 * vers.MaxDocumentBytes

type loginPage struct {
	LoginFailed bool
}

func (f *Console) login(c echo.Context) error {
	id, ok := f.sessions.open(c.FormValue("token"), c.FormValue("author"), time.Now())
	if !ok {
		return f.render(c, http.StatusForbidden, "login.html", loginPage{LoginFailed: true})
	}
	c.SetCookie(sessionCookie(id))
	return c.Redirect(http.StatusSeeOther, "/console")
}

func (f *Console) logout(c echo.Context, _ session) error {
	f.sessions.close(c)
	return c.Redirect(http.StatusSeeOther, "/console/login")
}

type overviewPage struct {
	CSRF    string
	Author  string
	Version magnolialedge.DocumentVersion
	Entries []iovers.EntryVersion
}

func (f *Console) overview(c echo.Context, s session) error {
	return f.render(c, http.StatusOK, "overview.html", overviewPage{
		CSRF:    s.csrf,
		Author:  s.author,
		Version: f.cfg.Syncer.Version(),
		Entries: f.cfg.Syncer.QueryEntries(c.Request().Context()),
	})
}

func (f *Console) export(c echo.Context, _ session) error {
	data, err := vers.Format(f.cfg.Syncer.Version().Document)
	if err != nil {
		return err
	}
	c.Response().Header().Set("Content-Disposition", `attachment; filename="document.json"`)
	return c.Blob(http.StatusOK, "application/json", data)
}

func (f *Console) render(c echo.Context, status int, page string, data any) error {
	c.Response().Header().Set("Content-Type", "text/html; charset=utf-8")
	c.Response().WriteHeader(status)
	return f.pages.ExecuteTemplate(c.Response(), page, data)
}
