// Package client is a client for the operators' API of an entry host.
package client

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/ansel1/merry/v2"

	"jayshift/core/wire"
	"jayshift/io/admin"
)

// ErrRefused means that the response had a status other than 200. The error contains the status and the problem's
// detail.
var ErrRefused = merry.Sentinel("refused")

// Client calls one entry host.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// New returns a client for an operator address, over HTTP. It sends the token if it is not empty.
func New(address, token string) *Client {
	return &Client{baseURL: "http://" + address, token: token, http: &http.Client{}}
}

// NewTLS returns a client over HTTPS that checks the host's certificate against roots.
func NewTLS(address, token string, roots *x509.CertPool) *Client {
	transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}}
	return &Client{baseURL: "https://" + address, token: token, http: &http.Client{Transport: transport}}
}

// send sends a request with a JSON body, if body is not nil. The caller must close the response body.
func (c *Client) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, merry.Wrap(err)
		}
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(r)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	defer response.Body.Close()
	var p wire.Problem
	_ = json.NewDecoder(response.Body).Decode(&p)
	return nil, merry.Prependf(ErrRefused, "%d %s", response.StatusCode, p.Detail)
}

// callJSON sends a request and decodes the JSON response into result.
func (c *Client) callJSON(ctx context.Context, method, path string, body, result any) error {
	response, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return merry.Wrap(json.NewDecoder(response.Body).Decode(result))
}

// Apply writes resources. The write is atomic unless the resources exceed the size of one transaction.
func (c *Client) Apply(ctx context.Context, list []wire.Resource) (admin.ApplyResult, error) {
	var result admin.ApplyResult
	err := c.callJSON(ctx, http.MethodPost, "/v1/apply", list, &result)
	return result, err
}

// CreateKey creates an API key for a team. The result contains the key. If name is empty, the host generates one.
func (c *Client) CreateKey(ctx context.Context, team, name string) (admin.ApplyResult, error) {
	var result admin.ApplyResult
	err := c.callJSON(ctx, http.MethodPost, "/v1/keys", map[string]string{"team": team, "name": name}, &result)
	return result, err
}

// List returns the resources of a kind, or of all kinds if kind is empty.
func (c *Client) List(ctx context.Context, kind string) ([]wire.Resource, error) {
	var resources []wire.Resource
	err := c.callJSON(ctx, http.MethodGet, "/v1/resources?kind="+url.QueryEscape(kind), nil, &resources)
	return resources, err
}

// Hosts returns the status of all hosts that have a seat.
func (c *Client) Hosts(ctx context.Context) ([]admin.HostStatus, error) {
	var hosts []admin.HostStatus
	err := c.callJSON(ctx, http.MethodGet, "/v1/hosts", nil, &hosts)
	return hosts, err
}

// Watch calls onVerdict for each verdict on a change, and returns the last one. A revision of 0 means the newest change
// of the resource.
func (c *Client) Watch(ctx context.Context, kind, name string, revision int, onVerdict func(wire.Verdict)) (wire.Verdict, error) {
	path := "/v1/watch/" + url.PathEscape(kind) + "/" + url.PathEscape(name) + "?revision=" + strconv.Itoa(revision)
	response, err := c.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return wire.Verdict{}, err
	}
	defer response.Body.Close()
	var last wire.Verdict
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if err := json.Unmarshal(lines.Bytes(), &last); err != nil {
			return last, merry.Wrap(err)
		}
		onVerdict(last)
	}
	return last, merry.Wrap(lines.Err())
}
