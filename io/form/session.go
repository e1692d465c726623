package form

import (
	"crypto/rand"
	"crypto/subtle"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
)

const (
	// sessionLife is how long an operator stays signed in.
	sessionLife = 8 * time.Hour
	// mostSessions bounds the sessions kept.
	mostSessions = 200
	sessionName  = "consoleSession"
)

// session is one operator who has signed in.
type session struct {
	until  time.Time
	csrf   string
	author string
}

// sessions are kept by this entry only; another entry asks to sign in again.
type sessions struct {
	token string
	mu    sync.Mutex
	byID  map[string]session
}

func newSessions(token string) *sessions {
	return &sessions{token: token, byID: map[string]session{}}
}

// open returns the id of a new session when the token is right.
func (s *sessions) open(token, author string, now time.Time) (string, bool) {
	if subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, have := range s.byID {
		if now.After(have.until) {
			delete(s.byID, id)
		}
	}
	if len(s.byID) >= mostSessions {
		return "", false
	}
	id := rand.Text()
	s.byID[id] = session{until: now.Add(sessionLife), csrf: rand.Text(), author: author}
	return id, true
}

func (s *sessions) of(c echo.Context) (session, bool) {
	cookie, err := c.Cookie(sessionName)
	if err != nil {
		return session{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	have, ok := s.byID[cookie.Value]
	if !ok || time.Now().After(have.until) {
		return session{}, false
	}
	return have, true
}

func (s *sessions) close(c echo.Context) {
	cookie, err := c.Cookie(sessionName)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, cookie.Value)
}

func sessionCookie(id string) *http.Cookie {
	return &http.Cookie{Name: sessionName, Value: id, Path: "/console", HttpOnly: true, SameSite: http.SameSiteStrictMode, MaxAge: int(sessionLife.Seconds())}
}
