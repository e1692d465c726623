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

// Syncer reads and changes the entry's configuration; *iovers.Syncer implements it.
type Syncer interface {
	Version() magnolialedge.DocumentVersion
	QueryEntries(ctx context.Context) []iovers.EntryVersion
	Submit(ctx context.Context, c vers.Change) (iovers.SubmitResult, error)
}

// ConsoleConfig configures a Console. Token is the token that operators sign in with.
type ConsoleConfig struct {
	Syncer Syncer
	Token  string
}

// Console serves the operators' web forms under /console.
type Console struct {
	cfg      ConsoleConfig
	sessions *sessionStore
	pages    *template.Template
}

// NewConsole returns a Console. It returns an error if a page template is malformed.
func NewConsole(cfg ConsoleConfig) (*Console, error) {
	t, err := template.ParseFS(pages, "page/*.html")
	return &Console{cfg: cfg, sessions: newSessionStore(cfg.Token), pages: t}, err
}

// Register adds the routes of the console to e.
func (f *Console) Register(e *echo.Echo) {
	g := e.Group("/console", setSecurityHeaders)
	g.GET("/style.css", func(c echo.Context) error {
		css, err := pages.ReadFile("page/style.css")
		if err != nil {
			return err
		}
		return c.Blob(http.StatusOK, "text/css; charset=utf-8", css)
	})
	g.GET("/login", func(c echo.Context) error { return f.render(c, http.StatusOK, "login.html", loginPage{}) })
	g.POST("/login", f.login)
	g.GET("", f.requireSession(f.overview))
	g.POST("/logout", f.requireSession(f.logout))
	g.GET("/document", f.requireSession(f.export))
	g.GET("/draft", f.requireSession(f.newDraft))
	g.POST("/draft", f.requireSession(f.editDraft))
	g.POST("/submit", f.requireSession(f.submit))
}

// setSecurityHeaders sets the response headers that forbid other sites to frame the console,
// limit what its pages load and submit to, and keep its pages out of caches and its URLs out
// of Referer headers.
func setSecurityHeaders(next echo.HandlerFunc) echo.HandlerFunc {
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

type sessionHandler func(c echo.Context, s session) error

// requireSession redirects requests without a valid session to the login page, and
// rejects POST requests without the session's CSRF token.
func (f *Console) requireSession(next sessionHandler) echo.HandlerFunc {
	return func(c echo.Context) error {
		s, ok := f.sessions.find(c)
		if !ok {
			return c.Redirect(http.StatusSeeOther, "/console/login")
		}
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxFormBytes)
		if c.Request().Method == http.MethodPost {
			csrf := c.FormValue("csrf")
			if subtle.ConstantTimeCompare([]byte(csrf), []byte(s.csrf)) != 1 {
				return c.String(http.StatusForbidden, "The form is out of date or larger than the limit. Go back and load it again.\n")
			}
		}
		return next(c, s)
	}
}

// maxFormBytes limits the body of a form: an escaped document and a few fields.
const maxFormBytes = 4 * vers.MaxDocumentBytes

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
