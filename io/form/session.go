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
	// sessionTTL is how long an operator stays signed in.
	sessionTTL = 8 * time.Hour
	// maxSessions limits the stored sessions; further logins are rejected.
	maxSessions       = 200
	sessionCookieName = "consoleSession"
)

// session is the login session of one operator.
type session struct {
	expiresAt time.Time
	csrf      string
	author    string
}

// sessionStore holds the sessions of this entry in memory. Entries do not share sessions,
// so operators sign in to each entry separately.
type sessionStore struct {
	token string
	mu    sync.Mutex
	byID  map[string]session
}

func newSessionStore(token string) *sessionStore {
	return &sessionStore{token: token, byID: map[string]session{}}
}

// open creates a session and returns its id. It returns false if the token is wrong or
// maxSessions is reached. It also deletes expired sessions.
func (s *sessionStore) open(token, author string, now time.Time) (string, bool) {
	if subtle.ConstantTimeCompare([]byte(token), []byte(s.token)) != 1 {
		return "", false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, existing := range s.byID {
		if now.After(existing.expiresAt) {
			delete(s.byID, id)
		}
	}
	if len(s.byID) >= maxSessions {
		return "", false
	}
	id := rand.Text()
	s.byID[id] = session{expiresAt: now.Add(sessionTTL), csrf: rand.Text(), author: author}
	return id, true
}

// find returns the session of the request's cookie, or false if there is none or it has
// expired.
func (s *sessionStore) find(c echo.Context) (session, bool) {
	cookie, err := c.Cookie(sessionCookieName)
	if err != nil {
		return session{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.byID[cookie.Value]
	if !ok || time.Now().After(found.expiresAt) {
		return session{}, false
	}
	return found, true
}

func (s *sessionStore) close(c echo.Context) {
	cookie, err := c.Cookie(sessionCookieName)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, cookie.Value)
}

func sessionCookie(id string) *http.Cookie {
	return &http.Cookie{Name: sessionCookieName, Value: id, Path: "/console", HttpOnly: true, SameSite: http.SameSiteStrictMode, MaxAge: int(sessionTTL.Seconds())}
}
