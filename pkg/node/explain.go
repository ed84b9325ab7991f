package node

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"nutmegstand.example/nutmegstand/pkg/proxy"
)

// buildExplainer builds the explainer of an ingress.
func (n *Node) buildExplainer(ingress *proxy.Ingress) {
	n.explainer = &proxy.Explainer{Ingress: ingress, Versions: n.moves}
	if n.limiter != nil {
		n.explainer.Limits = n.limiter
	}
}

// DescriptionError reports a parameter of a request to explain that is not allowed.
type DescriptionError struct{ Parameter, Allowed string }

func (e *DescriptionError) Error() string { return e.Parameter + " must be " + e.Allowed }

// describeRequest returns the request that the query of fleetview.ExplainPath describes.
func describeRequest(query url.Values) (proxy.Description, error) {
	d := proxy.Description{Host: query.Get("host"), Method: query.Get("method"), Workspace: query.Get("workspace")}
	d.Path, _, _ = strings.Cut(query.Get("path"), "?")
	if d.Method == "" {
		d.Method = http.MethodGet
	}
	if d.Host == "" {
		return d, &DescriptionError{"host", "a host name"}
	}
	if !strings.HasPrefix(d.Path, "/") {
		return d, &DescriptionError{"path", "a path that starts with a slash"}
	}
	if text := query.Get("remaining_ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 32)
		if err != nil || ms <= 0 {
			return d, &DescriptionError{"remaining_ms", "a positive number of milliseconds"}
		}
		d.Remaining = time.Duration(ms) * time.Millisecond
	}
	return d, nil
}

// serveExplanation is the HTTP handler of fleetview.ExplainPath.
func (n *Node) serveExplanation(w http.ResponseWriter, r *http.Request) {
	description, err := describeRequest(r.URL.Query())
	if err != nil {
		failure := map[string]string{"kind": "bad_request", "message": err.Error()}
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": failure})
		return
	}
	explanation := n.explainer.Explain(description)
	explanation.Daemon = n.settings.Name
	writeJSON(w, http.StatusOK, explanation)
}
