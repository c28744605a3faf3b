package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"syscall"

	celerylanding "celerylanding.example/celerylanding"
)

// maxReplyBytes bounds the response body of an order.
const maxReplyBytes = 4 << 20

var (
	// ErrOrderRefused means that the engine has rejected the order and will not carry it out.
	ErrOrderRefused = celerylanding.ErrorNamespace.NewType("order_refused")
	// ErrStaleFence means that the engine has seen a higher fencing token, and so a later executor.
	ErrStaleFence = celerylanding.ErrorNamespace.NewType("stale_fence")
	// ErrOrderUnknown means that the outcome is unknown: the engine may have carried out the order or may still do so.
	ErrOrderUnknown = celerylanding.ErrorNamespace.NewType("order_unknown")
	// ErrProcessGone means that nothing listens at the engine's address any more, or another incarnation of the engine does.
	ErrProcessGone = celerylanding.ErrorNamespace.NewType("process_gone")
)

// OrderBody is the request body of an order, after the model repository extension of the Open Inference Protocol.
type OrderBody struct {
	Parameters OrderParameters `json:"parameters"`
}

// OrderParameters are the parameters of an order, which are this system's extension of the protocol.
type OrderParameters struct {
	Order       celerylanding.OrderNumber  `json:"order"`
	Fence       celerylanding.FencingToken `json:"fence"`
	Incarnation celerylanding.Incarnation  `json:"incarnation"`
	Base        celerylanding.ModelID      `json:"base,omitempty"`
	Bytes       celerylanding.Bytes        `json:"bytes"`
	Role        celerylanding.Role         `json:"role,omitempty"`
}

// IndexEntry is one entry of an engine's repository index.
type IndexEntry struct {
	Name  celerylanding.ModelID `json:"name"`
	State string                `json:"state"`
	Bytes celerylanding.Bytes   `json:"bytes"`
}

// Index is an engine's response to a repository index call.
type Index struct {
	Incarnation celerylanding.Incarnation `json:"incarnation"`
	Models      []IndexEntry              `json:"models"`
}

// OrderClient sends orders to engines over HTTP and implements celerylanding.OrderClient.
type OrderClient struct {
	httpClient *http.Client
}

// NewOrderClient returns a client that opens a connection for each call; the context of a call bounds its duration.
func NewOrderClient() *OrderClient {
	return &OrderClient{httpClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Send sends the order and waits until the engine has carried it out.
func (client *OrderClient) Send(ctx context.Context, endpoint celerylanding.Endpoint, order celerylanding.Order) error {
	body := OrderBody{Parameters: OrderParameters{Order: order.Number, Fence: order.Fence,
		Incarnation: order.Incarnation, Base: order.Base, Bytes: order.Bytes, Role: order.Role}}
	if order.Kind == celerylanding.OrderRole {
		_, err := client.call(ctx, endpoint, "/v2/repository/role", body)
		return err
	}
	path := "/v2/repository/models/" + url.PathEscape(string(order.Model)) + "/" + string(order.Kind)
	_, err := client.call(ctx, endpoint, path, body)
	return err
}

// Inventory returns the models that the engine has loaded or is loading.
func (client *OrderClient) Inventory(ctx context.Context, endpoint celerylanding.Endpoint) ([]celerylanding.LoadedModel, error) {
	reply, err := client.call(ctx, endpoint, "/v2/repository/index", struct{}{})
	if err != nil {
		return nil, err
	}
	var index Index
	if err := json.Unmarshal(reply, &index); err != nil {
		return nil, ErrOrderUnknown.Wrap(err, "repository index of %s", endpoint.Target)
	}
	if index.Incarnation != endpoint.Incarnation {
		return nil, ErrProcessGone.New("%s now runs incarnation %d", endpoint.Target, index.Incarnation)
	}
	loaded := make([]celerylanding.LoadedModel, 0, len(index.Models))
	for _, entry := range index.Models {
		loaded = append(loaded, celerylanding.LoadedModel{Model: entry.Name, Bytes: entry.Bytes, State: entry.State})
	}
	return loaded, nil
}

// Fence makes the engine reject orders with a lower fencing token.
func (client *OrderClient) Fence(ctx context.Context, endpoint celerylanding.Endpoint, fence celerylanding.FencingToken) error {
	body := OrderBody{Parameters: OrderParameters{Fence: fence, Incarnation: endpoint.Incarnation}}
	_, err := client.call(ctx, endpoint, "/v2/repository/fence", body)
	return err
}

func (client *OrderClient) call(ctx context.Context, endpoint celerylanding.Endpoint, path string, body any) ([]byte, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint.Address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.httpClient.Do(request)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, ErrProcessGone.Wrap(err, "%s at %s", endpoint.Target, endpoint.Address)
	}
	if err != nil {
		return nil, ErrOrderUnknown.Wrap(err, "request %s to %s failed", path, endpoint.Target)
	}
	defer closeBody(response.Body)
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, ErrOrderUnknown.Wrap(err, "request %s to %s failed", path, endpoint.Target)
	}
	return reply, orderError(response.StatusCode, reply)
}

// orderError distinguishes rejections by the engine from failures whose outcome is unknown.
func orderError(status int, reply []byte) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusConflict:
		return ErrStaleFence.New("%s", reply)
	case status == http.StatusGone:
		return ErrProcessGone.New("%s", reply)
	case status >= 400 && status < 500, status == http.StatusInsufficientStorage:
		return ErrOrderRefused.New("status %d: %s", status, reply)
	}
	return ErrOrderUnknown.New("status %d: %s", status, reply)
}

// closeBody closes the body of a response; an error of Close has no consequence for the caller.
func closeBody(body io.Closer) {
	_ = body.Close()
}
