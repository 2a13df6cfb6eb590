// Package client calls the operators' API of an entry host.
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

// ErrRefused means that the entry host refused the call; the error tells why.
var ErrRefused = merry.Sentinel("refused")

// Client calls one entry host.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client of the operator address, with a token when one is set.
func New(address, token string) *Client {
	return &Client{base: "http://" + address, token: token, http: &http.Client{}}
}

// NewTLS returns a client that checks the host's certificate against the authorities.
func NewTLS(address, token string, roots *x509.CertPool) *Client {
	transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}}
	return &Client{base: "https://" + address, token: token, http: &http.Client{Transport: transport}}
}

func (c *Client) open(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, merry.Wrap(err)
		}
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
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

func (c *Client) call(ctx context.Context, method, path string, body, out any) error {
	response, err := c.open(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return merry.Wrap(json.NewDecoder(response.Body).Decode(out))
}

// Apply writes resources, all or none.
func (c *Client) Apply(ctx context.Context, list []wire.Resource) (admin.ApplyResult, error) {
	var out admin.ApplyResult
	err := c.call(ctx, http.MethodPost, "/v1/apply", list, &out)
	return out, err
}

// Grant makes a key for a team; the answer holds the key.
func (c *Client) Grant(ctx context.Context, team, name string) (admin.ApplyResult, error) {
	var out admin.ApplyResult
	err := c.call(ctx, http.MethodPost, "/v1/keys", map[string]string{"team": team, "name": name}, &out)
	return out, err
}

// List returns the resources of a kind, of all kinds when it is empty.
func (c *Client) List(ctx context.Context, kind string) ([]wire.Resource, error) {
	var out []wire.Resource
	err := c.call(ctx, http.MethodGet, "/v1/resources?kind="+url.QueryEscape(kind), nil, &out)
	return out, err
}

// Hosts returns the seated hosts.
func (c *Client) Hosts(ctx context.Context) ([]admin.HostStatus, error) {
	var out []admin.HostStatus
	err := c.call(ctx, http.MethodGet, "/v1/hosts", nil, &out)
	return out, err
}

// Watch calls show for each state of a change until the last one, which it returns.
// The revision may be zero, for the newest change of the resource.
func (c *Client) Watch(ctx context.Context, kind, name string, revision int, show func(wire.Verdict)) (wire.Verdict, error) {
	path := "/v1/watch/" + url.PathEscape(kind) + "/" + url.PathEscape(name) + "?revision=" + strconv.Itoa(revision)
	response, err := c.open(ctx, http.MethodGet, path, nil)
	if err != nil {
		return wire.Verdict{}, err
	}
	defer response.Body.Close()
	var last wire.Verdict
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if err := json.Unmarshal(scanner.Bytes(), &last); err != nil {
			return last, merry.Wrap(err)
		}
		show(last)
	}
	return last, merry.Wrap(scanner.Err())
}
