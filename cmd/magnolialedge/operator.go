package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"magnolialedge"
	"magnolialedge/core/vers"
	"magnolialedge/io/entry"
)

// operatorTimeout bounds a call of the operators' tool.
const operatorTimeout = 15 * time.Second

type operatorFlags struct {
	Operators string `help:"Operators' address of an entry." required:"" env:"MAGNOLIALEDGE_OPERATORS"`
	Token     string `help:"Token of the operators." required:"" env:"MAGNOLIALEDGE_TOKEN"`
}

// do calls the operators' listener and returns the status and the body.
func (f operatorFlags) do(method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+f.Operators+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+f.Token)
	req.Header.Set("Content-Type", "application/json")
	return fetch(req)
}

func fetch(req *http.Request) (int, []byte, error) {
	client := &http.Client{Timeout: operatorTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

type checkCommand struct {
	File string `arg:"" help:"Document to validate." type:"existingfile"`
}

// Run prints every fault of the document.
func (c *checkCommand) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	doc, err := vers.Parse(data)
	if err != nil {
		return err
	}
	fmt.Printf("%s is valid: %d services, %d targets\n", c.File, len(doc.Services), countTargets(doc))
	return nil
}

func countTargets(doc magnolialedge.Document) int {
	n := 0
	for _, s := range doc.Services {
		n += len(s.Targets)
	}
	return n
}

type applyCommand struct {
	operatorFlags
	File     string `arg:"" help:"Document to submit." type:"existingfile"`
	Base     int64  `help:"Revision that the document was made from; the one in force if not given." default:"-1"`
	ChangeID string `help:"Id of the change; the same id settles an earlier submission." env:"MAGNOLIALEDGE_CHANGE_ID"`
	Author   string `help:"Who submits." env:"USER"`
}

// Run submits the document and prints what became of it.
func (c *applyCommand) Run() error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := vers.Parse(data); err != nil {
		return err
	}
	if c.Base < 0 {
		if c.Base, err = c.inForce(); err != nil {
			return err
		}
	}
	if c.ChangeID == "" {
		c.ChangeID = uuid.NewString()
	}
	return c.submit(data)
}

func (c *applyCommand) inForce() (int64, error) {
	status, body, err := c.do(http.MethodGet, "/v1/config", nil)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, errors.Newf("the entry answered %d: %s", status, body)
	}
	var v magnolialedge.DocumentVersion
	return v.Revision, json.Unmarshal(body, &v)
}

func (c *applyCommand) submit(data []byte) error {
	req := entry.ChangeRequest{BaseRevision: c.Base, ChangeID: c.ChangeID, Author: c.Author, Document: data}
	body, err := json.Marshal(req)
	if err != nil {
		return err
	}
	status, reply, err := c.do(http.MethodPost, "/v1/config", body)
	if err != nil {
		return errors.Wrapf(err, "change %s may have been accepted; apply again with --change-id and --base %d", c.ChangeID, c.Base)
	}
	var a entry.ChangeResponse
	if err := json.Unmarshal(reply, &a); err != nil {
		return errors.Newf("the entry answered %d: %s", status, reply)
	}
	if status != http.StatusOK {
		return changeError(c, a)
	}
	fmt.Printf("accepted as revision %d (change %s)\n", a.Revision, c.ChangeID)
	return nil
}

func changeError(c *applyCommand, a entry.ChangeResponse) error {
	if len(a.ValidationErrors) > 0 {
		return a.ValidationErrors
	}
	if a.Kind == magnolialedge.KindPending {
		return errors.Newf("pending: %s\napply again with --change-id %s --base %d", a.Detail, c.ChangeID, c.Base)
	}
	return errors.Newf("refused: %s", a.Detail)
}

type resolveCommand struct {
	Service string `arg:"" help:"Service to ask for."`
	Entry   string `help:"Callers' address of an entry." required:"" env:"MAGNOLIALEDGE_CALLERS"`
}

// Run prints the answer of the entry.
func (c *resolveCommand) Run() error {
	req, err := http.NewRequest(http.MethodGet, "http://"+c.Entry+"/v1/resolve?service="+url.QueryEscape(c.Service), nil)
	if err != nil {
		return err
	}
	return printed(fetch(req))
}

type dumpCommand struct {
	operatorFlags
}

// Run prints the dump of the entry.
func (c *dumpCommand) Run() error {
	return printed(c.do(http.MethodGet, "/dump", nil))
}

func printed(status int, body []byte, err error) error {
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errors.Newf("the entry answered %d: %s", status, body)
	}
	fmt.Println(string(bytes.TrimSpace(body)))
	return nil
}
